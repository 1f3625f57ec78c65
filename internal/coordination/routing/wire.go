package routing

import (
	"pinewinch.example/pinewinch/internal/coordination/routing/admission"
	"pinewinch.example/pinewinch/internal/coordination/routing/credit"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// EncodeAmounts converts amounts to their wire form.
func EncodeAmounts(amounts []credit.Amount) []*peerpb.CreditAmount {
	encoded := make([]*peerpb.CreditAmount, len(amounts))
	for i, amount := range amounts {
		encoded[i] = &peerpb.CreditAmount{Resource: amount.Resource, Count: uint32(amount.Count)}
	}
	return encoded
}

// DecodeAmounts converts amounts from their wire form. Counts are capped at
// maxCount so that their sum cannot overflow.
func DecodeAmounts(amounts []*peerpb.CreditAmount) []credit.Amount {
	decoded := make([]credit.Amount, len(amounts))
	for i, amount := range amounts {
		decoded[i] = credit.Amount{Resource: amount.Resource, Count: int(min(amount.Count, maxCount))}
	}
	return decoded
}

// maxCount is the upper bound of a count received from another instance.
const maxCount = 1 << 20

// EncodeAsk converts a borrow request to its wire form.
func EncodeAsk(ask admission.Ask) *peerpb.CreditAsk {
	encoded := &peerpb.CreditAsk{Boot: ask.Incarnation, Sequence: ask.Sequence, Holding: EncodeAmounts(ask.Holding)}
	for _, want := range ask.Wants {
		encoded.Wants = append(encoded.Wants, &peerpb.CreditWant{Service: want.Service, Resource: want.Resource, Count: uint32(want.Count)})
	}
	return encoded
}

// DecodeAsk converts a borrow request from its wire form. Counts are capped at
// maxCount.
func DecodeAsk(ask *peerpb.CreditAsk) admission.Ask {
	decoded := admission.Ask{Incarnation: ask.Boot, Sequence: ask.Sequence, Holding: DecodeAmounts(ask.Holding)}
	for _, want := range ask.Wants {
		decoded.Wants = append(decoded.Wants, admission.Want{Service: want.Service, Resource: want.Resource, Count: int(min(want.Count, maxCount))})
	}
	return decoded
}

// EncodeReply converts the reply to a borrow request to its wire form.
func EncodeReply(reply admission.Reply) *peerpb.CreditReply {
	return &peerpb.CreditReply{
		Boot:     reply.Incarnation,
		Sequence: reply.Sequence,
		Granted:  EncodeAmounts(reply.Granted),
		Owed:     EncodeAmounts(reply.Owed),
		Idle:     uint32(reply.Idle),
	}
}

// DecodeReply converts the reply to a borrow request from its wire form. Counts
// are capped at maxCount.
func DecodeReply(reply *peerpb.CreditReply) admission.Reply {
	return admission.Reply{
		Incarnation: reply.Boot,
		Sequence:    reply.Sequence,
		Granted:     DecodeAmounts(reply.Granted),
		Owed:        DecodeAmounts(reply.Owed),
		Idle:        int(min(reply.Idle, maxCount)),
	}
}
