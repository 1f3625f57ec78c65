package claims

import (
	"container/list"
	"expvar"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
)

var (
	answersKept    = expvar.NewInt("claims_answers_kept")
	answersEvicted = expvar.NewInt("claims_answers_evicted")
	answerBytes    = expvar.NewInt("claims_answer_bytes")
)

// answerOverhead is added to a body's size for what surrounds it in memory.
const answerOverhead = 512

// Answers keeps whole answers for callers that ask again. It is bounded in time
// and bytes; when it is full, the customer that keeps most loses its oldest
// answer, so that one busy customer cannot push out another's.
type Answers struct {
	life      time.Duration
	maxBytes  int64
	mu        sync.Mutex
	bytes     int64
	customers map[string]*customerAnswers
}

type customerAnswers struct {
	bytes  int64
	byKey  map[string]*list.Element
	oldest *list.List
}

// kept is one answer and the request that it belongs to.
type kept struct {
	key     string
	answer  *api.Answer
	expires time.Time
}

func (k *kept) size() int64 { return int64(len(k.answer.Body)+len(k.key)) + answerOverhead }

// NewAnswers makes an empty store; each answer is kept for life at most.
func NewAnswers(life time.Duration, maxBytes int64) *Answers {
	return &Answers{life: life, maxBytes: maxBytes, customers: map[string]*customerAnswers{}}
}

func (a *Answers) put(customer string, k *kept, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	own := a.customers[customer]
	if own == nil {
		own = &customerAnswers{byKey: map[string]*list.Element{}, oldest: list.New()}
		a.customers[customer] = own
	}
	if old := own.byKey[k.key]; old != nil {
		a.remove(customer, old)
	}
	k.expires = now.Add(a.life)
	own.byKey[k.key] = own.oldest.PushBack(k)
	own.bytes += k.size()
	a.bytes += k.size()
	a.trim(now)
	answersKept.Add(1)
	answerBytes.Set(a.bytes)
}

func (a *Answers) get(customer, key string, now time.Time) *kept {
	a.mu.Lock()
	defer a.mu.Unlock()
	own := a.customers[customer]
	if own == nil || own.byKey[key] == nil {
		return nil
	}
	k := own.byKey[key].Value.(*kept)
	if !now.Before(k.expires) {
		return nil
	}
	return k
}

// trim drops what has expired, then the oldest of the largest customer.
func (a *Answers) trim(now time.Time) {
	for name, own := range a.customers {
		for first := own.oldest.Front(); first != nil && !now.Before(first.Value.(*kept).expires); first = own.oldest.Front() {
			a.remove(name, first)
		}
	}
	for a.bytes > a.maxBytes {
		name := a.largest()
		a.remove(name, a.customers[name].oldest.Front())
		answersEvicted.Add(1)
	}
}

func (a *Answers) largest() string {
	var largest string
	var most int64 = -1
	for name, own := range a.customers {
		if own.bytes > most {
			largest, most = name, own.bytes
		}
	}
	return largest
}

func (a *Answers) remove(customer string, element *list.Element) {
	own := a.customers[customer]
	k := own.oldest.Remove(element).(*kept)
	delete(own.byKey, k.key)
	own.bytes -= k.size()
	a.bytes -= k.size()
}
