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

// EncodeBorrowRequest converts a borrow request to its wire form.
func EncodeBorrowRequest(request admission.BorrowRequest) *peerpb.CreditAsk {
	encoded := &peerpb.CreditAsk{Boot: request.Incarnation, Sequence: request.Sequence, Holding: EncodeAmounts(request.Holding)}
	for _, want := range request.Wants {
		encoded.Wants = append(encoded.Wants, &peerpb.CreditWant{Service: want.Service, Resource: want.Resource, Count: uint32(want.Count)})
	}
	return encoded
}

// DecodeBorrowRequest converts a borrow request from its wire form. Counts are
// capped at maxCount.
func DecodeBorrowRequest(request *peerpb.CreditAsk) admission.BorrowRequest {
	decoded := admission.BorrowRequest{Incarnation: request.Boot, Sequence: request.Sequence, Holding: DecodeAmounts(request.Holding)}
	for _, want := range request.Wants {
		decoded.Wants = append(decoded.Wants, admission.Want{Service: want.Service, Resource: want.Resource, Count: int(min(want.Count, maxCount))})
	}
	return decoded
}

// EncodeBorrowReply converts the reply to a borrow request to its wire form.
func EncodeBorrowReply(reply admission.BorrowReply) *peerpb.CreditReply {
	return &peerpb.CreditReply{
		Boot:     reply.Incarnation,
		Sequence: reply.Sequence,
		Granted:  EncodeAmounts(reply.Granted),
		Owed:     EncodeAmounts(reply.Owed),
		Idle:     uint32(reply.Idle),
	}
}

// DecodeBorrowReply converts the reply to a borrow request from its wire form. Counts
// are capped at maxCount.
func DecodeBorrowReply(reply *peerpb.CreditReply) admission.BorrowReply {
	return admission.BorrowReply{
		Incarnation: reply.Boot,
		Sequence:    reply.Sequence,
		Granted:     DecodeAmounts(reply.Granted),
		Owed:        DecodeAmounts(reply.Owed),
		Idle:        int(min(reply.Idle, maxCount)),
	}
}
