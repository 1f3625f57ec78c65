package operators

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// orderModel is an operator who evacuates and readmits in turn, at instances that lag, while
// copies of earlier orders arrive late.
type orderModel struct {
	rt        *rapid.T
	shared    *sharedLog
	instances []*Evacuations
	logs      []*laggingLog
	late      []lateOrder
	// longHeld is set if proposals may be held back for longHeldMs, not only as long as copies.
	longHeld bool
	beganMs  int64 // of the newest order
}

// lateOrder is a copy of an order that is still on its way.
type lateOrder struct {
	arrivesMs int64
	deliver   func()
}

const (
	// lastCopyMs is the time from the first attempt of an order to the arrival of its last
	// copy: within the resend window of 3 s after its commit. Later ones are not told apart.
	lastCopyMs = 2900
	// longHeldMs is a long delay of a proposal inside the system. It is told by the number of
	// changes, but if it comes after the window and finds its order in force, it counts as
	// a new one, and the next order may wait for longer than the window.
	longHeldMs  = 10000
	attemptMs   = 700
	resendForMs = 5000
)

// delay delivers a copy after a delay of up to a limit.
func (m *orderModel) delay(limitMs int64, deliver func()) {
	arrives := m.shared.timeMs + rapid.Int64Range(0, limitMs).Draw(m.rt, "delay")
	m.late = append(m.late, lateOrder{arrives, deliver})
}

// copyLeftMs returns the time left for copies of the newest order to arrive.
func (m *orderModel) copyLeftMs() int64 { return max(0, m.beganMs+lastCopyMs-m.shared.timeMs) }

func (m *orderModel) maxHeldMs() int64 {
	if m.longHeld {
		return longHeldMs
	}
	return m.copyLeftMs()
}

// advance lets time pass and delivers the copies that arrive meanwhile.
func (m *orderModel) advance(ms int64) {
	for end := m.shared.timeMs + ms; m.shared.timeMs < end; m.shared.timeMs += 50 {
		waiting := m.late
		m.late = nil
		for _, order := range waiting {
			if order.arrivesMs > m.shared.timeMs {
				m.late = append(m.late, order)
				continue
			}
			order.deliver()
		}
	}
}

// send sends an order to an instance, which may be behind; the proposal may be delayed on
// its way to the leader, and the answer lost.
func (m *orderModel) send(evacuate bool) (acknowledged, refused bool) {
	n := rapid.IntRange(0, len(m.instances)-1).Draw(m.rt, "instance")
	if rapid.Bool().Draw(m.rt, "caught up") {
		m.logs[n].local = m.shared.committed
	}
	held := false
	m.logs[n].delay = func(command *controlpb.Command) bool {
		held = rapid.IntRange(0, 4).Draw(m.rt, "held") == 0
		if held {
			m.delay(m.maxHeldMs(), func() { m.shared.commit(command) })
		}
		return held
	}
	err := m.instances[n].order(context.Background(), "north", evacuate)
	m.logs[n].delay = nil
	return err == nil && rapid.IntRange(0, 3).Draw(m.rt, "lost") > 0, err != nil && !held
}

// Guards against late copies of an order that undo a newer acknowledged one, and against
// orders that are not acknowledged while the log is stable.
func TestOrdersUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		m := &orderModel{rt: rt, longHeld: rapid.Bool().Draw(rt, "long held")}
		for range 3 {
			evacuations, log, _ := newTestEvacuations(EvacuationConfig{DataCentres: []string{"north"}})
			if m.shared == nil {
				m.shared = log.sharedLog
			}
			log.sharedLog = m.shared
			m.instances, m.logs = append(m.instances, evacuations), append(m.logs, log)
		}
		first := rapid.IntRange(0, 1).Draw(rt, "first")
		for number := range rapid.IntRange(1, 6).Draw(rt, "orders") {
			evacuate := (first+number)%2 == 0
			acknowledged, refused := false, false
			for m.beganMs = m.shared.timeMs; !acknowledged && m.shared.timeMs-m.beganMs < resendForMs; {
				if left := m.copyLeftMs(); left > 0 && rapid.IntRange(0, 4).Draw(rt, "copied") == 0 {
					n := rapid.IntRange(0, 2).Draw(rt, "copy at")
					m.delay(left, func() { _ = m.instances[n].order(context.Background(), "north", evacuate) })
				}
				acknowledged, refused = m.send(evacuate)
				// A new order may be taken for a resend until the window has passed.
				is.True(!refused || m.shared.timeMs-m.beganMs <= 3000 || m.longHeld)
				m.advance(attemptMs)
			}
			if !acknowledged {
				rt.Skip("all answers were lost")
			}
			for range rapid.IntRange(0, 8).Draw(rt, "pause") {
				is.Equal(m.shared.committed.Evacuated("north"), evacuate) // the newest acknowledged order
				m.advance(attemptMs)
			}
			is.Equal(m.shared.committed.Evacuated("north"), evacuate)
		}
	})
}
