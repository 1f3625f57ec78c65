package routing

import (
	"pinewinch.example/pinewinch/internal/coordination/routing/admission"
	"pinewinch.example/pinewinch/internal/coordination/routing/credit"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// EncodeAmounts gives the wire form of amounts.
func EncodeAmounts(amounts []credit.Amount) []*peerpb.CreditAmount {
	encoded := make([]*peerpb.CreditAmount, len(amounts))
	for i, amount := range amounts {
		encoded[i] = &peerpb.CreditAmount{Resource: amount.Resource, Count: uint32(amount.Count)}
	}
	return encoded
}

// DecodeAmounts reads the wire form of amounts. Counts are bounded, so that a
// sum of them cannot overflow.
func DecodeAmounts(amounts []*peerpb.CreditAmount) []credit.Amount {
	decoded := make([]credit.Amount, len(amounts))
	for i, amount := range amounts {
		decoded[i] = credit.Amount{Resource: amount.Resource, Count: int(min(amount.Count, maxCount))}
	}
	return decoded
}

// maxCount bounds one count from the wire.
const maxCount = 1 << 20

// EncodeAsk gives the wire form of an ask.
func EncodeAsk(ask admission.Ask) *peerpb.CreditAsk {
	encoded := &peerpb.CreditAsk{Boot: ask.Boot, Sequence: ask.Sequence, Holding: EncodeAmounts(ask.Holding)}
	for _, want := range ask.Wants {
		encoded.Wants = append(encoded.Wants, &peerpb.CreditWant{Service: want.Service, Resource: want.Resource, Count: uint32(want.Count)})
	}
	return encoded
}

// DecodeAsk reads the wire form of an ask.
func DecodeAsk(ask *peerpb.CreditAsk) admission.Ask {
	decoded := admission.Ask{Boot: ask.Boot, Sequence: ask.Sequence, Holding: DecodeAmounts(ask.Holding)}
	for _, want := range ask.Wants {
		decoded.Wants = append(decoded.Wants, admission.Want{Service: want.Service, Resource: want.Resource, Count: int(min(want.Count, maxCount))})
	}
	return decoded
}

// EncodeReply gives the wire form of a reply.
func EncodeReply(reply admission.Reply) *peerpb.CreditReply {
	return &peerpb.CreditReply{
		Boot:     reply.Boot,
		Sequence: reply.Sequence,
		Granted:  EncodeAmounts(reply.Granted),
		Owed:     EncodeAmounts(reply.Owed),
		Idle:     uint32(reply.Idle),
	}
}

// DecodeReply reads the wire form of a reply.
func DecodeReply(reply *peerpb.CreditReply) admission.Reply {
	return admission.Reply{
		Boot:     reply.Boot,
		Sequence: reply.Sequence,
		Granted:  DecodeAmounts(reply.Granted),
		Owed:     DecodeAmounts(reply.Owed),
		Idle:     int(min(reply.Idle, maxCount)),
	}
}
