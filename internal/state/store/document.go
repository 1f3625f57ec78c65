package store

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/declaration"
)

// Document returns the newest complete set of declarations as it was sent, or nil if
// none was sent.
func (s *State) Document() *controlpb.Document { return s.document }

// Queues lists the declared queues.
func (s *State) Queues() []*controlpb.Queue {
	return listDeclared(s, declaration.QueuePrefix, (*controlpb.Item).GetQueue)
}

// listDeclared lists the declarations under a key prefix in key order.
func listDeclared[T any](s *State, prefix string, body func(*controlpb.Item) T) []T {
	var bodies []T
	s.items.Root().WalkPrefix([]byte(prefix), func(_ []byte, item *controlpb.Item) bool {
		bodies = append(bodies, body(item))
		return false
	})
	return bodies
}

// documentPrefixes are the key prefixes of the declarations that a document replaces.
// Other kinds are declared individually and are kept.
var documentPrefixes = []string{declaration.QueuePrefix, declaration.CustomerPrefix, declaration.ServicePrefix}

// replaceDeclarations applies a document of a higher version. An older or equal version
// is acknowledged without effect: an operator that got no response sends the document
// again, and a delayed copy must not overwrite a newer one.
func (s *State) replaceDeclarations(op *controlpb.ReplaceDeclarations) *controlpb.Result {
	if s.document != nil && op.Document.Version <= s.document.Version {
		return &controlpb.Result{}
	}
	customers := s.Customers()
	txn := s.items.Txn()
	walk(s.items, func(key string, _ *controlpb.Item) {
		for _, prefix := range documentPrefixes {
			if strings.HasPrefix(key, prefix) {
				txn.Delete([]byte(key))
			}
		}
	})
	for _, item := range op.Items {
		txn.Insert([]byte(item.Key), item)
	}
	s.items = txn.Commit()
	s.document = op.Document
	s.revision++
	s.succeedCustomers(customers)
	s.moveWorkToItsService()
	return &controlpb.Result{}
}

// Replicas lists the instances that hold a replica of the log, as last reported by the
// leader.
func (s *State) Replicas() []*controlpb.ReplicaInstance { return s.replicas }

func (s *State) setReplicas(op *controlpb.SetReplicas) *controlpb.Result {
	if !proto.Equal(op, &controlpb.SetReplicas{Replicas: s.replicas}) {
		s.replicas = op.Replicas
	}
	return &controlpb.Result{}
}
