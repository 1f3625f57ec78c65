package store

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/declaration"
)

// Document is the newest whole set of declarations as it was sent; nil for none.
func (s *State) Document() *controlpb.Document { return s.document }

// Queues lists the declared queues.
func (s *State) Queues() []*controlpb.Queue {
	return declared(s, declaration.QueuePrefix, (*controlpb.Item).GetQueue)
}

// Customers lists the declared customers.
func (s *State) Customers() []*controlpb.Customer {
	return declared(s, declaration.CustomerPrefix, (*controlpb.Item).GetCustomer)
}

// declared lists the items of one kind, by their keys.
func declared[T any](s *State, prefix string, body func(*controlpb.Item) T) []T {
	var bodies []T
	s.items.Root().WalkPrefix([]byte(prefix), func(_ []byte, item *controlpb.Item) bool {
		bodies = append(bodies, body(item))
		return false
	})
	return bodies
}

// replaced are the kinds of declaration that a document holds; the others are
// declared one by one and stay.
var replaced = []string{declaration.QueuePrefix, declaration.CustomerPrefix, declaration.ServicePrefix}

// replaceDeclarations puts a newer document in force. An older one, or the same
// version again, is acknowledged and changes nothing: an operator that did not
// get the answer sends the same again, and a late copy must not undo a newer one.
func (s *State) replaceDeclarations(op *controlpb.ReplaceDeclarations) *controlpb.Result {
	if s.document != nil && op.Document.Version <= s.document.Version {
		return &controlpb.Result{}
	}
	txn := s.items.Txn()
	walk(s.items, func(key string, _ *controlpb.Item) {
		for _, prefix := range replaced {
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
	return &controlpb.Result{}
}

// Replicas lists the instances that keep the log, as its leader last said.
func (s *State) Replicas() []*controlpb.ReplicaInstance { return s.replicas }

func (s *State) setReplicas(op *controlpb.SetReplicas) *controlpb.Result {
	if !proto.Equal(op, &controlpb.SetReplicas{Replicas: s.replicas}) {
		s.replicas = op.Replicas
	}
	return &controlpb.Result{}
}
