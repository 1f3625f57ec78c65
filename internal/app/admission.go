package app

import (
	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/internal/transport/admission"
	"pinewinch.example/pinewinch/internal/transport/connections"
)

const (
	// connectionShare and messageShare are the parts of the machine's memory for accepted
	// connections and for their messages. The rest is for the state of the process and for
	// garbage that isn't collected yet.
	connectionShare, messageShare = 0.3, 0.25
	// connectionBytes is what an idle connection holds: the stack of its goroutine and the
	// buffers of net/http.
	connectionBytes = 20 << 10
	// defaultMessageBytes bounds the messages where the machine's memory isn't known.
	defaultMessageBytes = 1 << 30
	// acceptMargin leaves room in the group of accepted connections for those that each
	// listener has accepted and the gate not yet admitted.
	acceptMargin = 4

	// Scrapes of the metrics have connections and bytes of their own, so that they are
	// served when callers have taken all.
	metricsConnections  = 16
	metricsMessageBytes = 1 << 20
)

// gates admit the connections of all listeners of the process.
type gates struct {
	// requests is for callers, operators, upstreams and health checks; metrics for scrapes.
	requests, metrics *admission.Gate
}

func newGates(s *settings.Settings, allocation connections.Allocation, logger *logrus.Logger) gates {
	limits := admissionLimits(uint64(s.Instance.MemoryMB)*bytesPerMB, allocation.Accepted)
	scrapes := limits
	scrapes.Connections, scrapes.MessageBytes = metricsConnections, metricsMessageBytes
	return gates{
		requests: admission.NewGate("admission", limits, logger),
		metrics:  admission.NewGate("admission_metrics", scrapes, logger),
	}
}

// admissionLimits returns the limits of a process with so many bytes of memory, 0 if that
// isn't known, and so many descriptors for accepted connections.
func admissionLimits(memory uint64, accepted int) admission.Limits {
	limits := admission.Limits{
		Connections:  max(accepted-acceptMargin, 1),
		MessageBytes: defaultMessageBytes,
		HeadBytes:    admission.DefaultHeadBytes,
		HeadTimeout:  readHeaderTimeout,
	}
	if memory > 0 {
		limits.Connections = min(limits.Connections, int(connectionShare*float64(memory)/connectionBytes))
		limits.MessageBytes = int64(messageShare * float64(memory))
	}
	return limits
}
