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

// answerOverhead is an estimate, in bytes, of the memory that an entry takes
// beside its body and key.
const answerOverhead = 512

// AnswerCache keeps complete answers for callers that resend a request. Entries
// expire after ttl, and their total size is limited to maxBytes. At the limit the
// oldest answer of the customer with the most bytes is evicted, so that a busy
// customer cannot evict the answers of others.
type AnswerCache struct {
	ttl       time.Duration
	maxBytes  int64
	mu        sync.Mutex
	bytes     int64
	customers map[string]*customerAnswers
}

type customerAnswers struct {
	bytes int64
	byKey map[string]*list.Element
	byAge *list.List
}

// cachedAnswer is one answer with the key of its request.
type cachedAnswer struct {
	key     string
	answer  *api.Answer
	expires time.Time
}

func (entry *cachedAnswer) size() int64 {
	return int64(len(entry.answer.Body)+len(entry.key)) + answerOverhead
}

// NewAnswerCache returns an empty cache that keeps each answer for at most ttl
// and at most maxBytes in all.
func NewAnswerCache(ttl time.Duration, maxBytes int64) *AnswerCache {
	return &AnswerCache{ttl: ttl, maxBytes: maxBytes, customers: map[string]*customerAnswers{}}
}

func (a *AnswerCache) put(customer string, entry *cachedAnswer, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	answers := a.customers[customer]
	if answers == nil {
		answers = &customerAnswers{byKey: map[string]*list.Element{}, byAge: list.New()}
		a.customers[customer] = answers
	}
	if old := answers.byKey[entry.key]; old != nil {
		a.remove(customer, old)
	}
	entry.expires = now.Add(a.ttl)
	answers.byKey[entry.key] = answers.byAge.PushBack(entry)
	answers.bytes += entry.size()
	a.bytes += entry.size()
	a.evict(now)
	answersKept.Add(1)
	answerBytes.Set(a.bytes)
}

func (a *AnswerCache) get(customer, key string, now time.Time) *cachedAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	answers := a.customers[customer]
	if answers == nil || answers.byKey[key] == nil {
		return nil
	}
	entry := answers.byKey[key].Value.(*cachedAnswer)
	if !now.Before(entry.expires) {
		return nil
	}
	return entry
}

// evict removes expired answers and then, while the cache exceeds its limit, the
// oldest answer of the customer with the most bytes.
func (a *AnswerCache) evict(now time.Time) {
	for name, own := range a.customers {
		for first := own.byAge.Front(); first != nil && !now.Before(first.Value.(*cachedAnswer).expires); first = own.byAge.Front() {
			a.remove(name, first)
		}
	}
	for a.bytes > a.maxBytes {
		name := a.largestCustomer()
		a.remove(name, a.customers[name].byAge.Front())
		answersEvicted.Add(1)
	}
}

func (a *AnswerCache) largestCustomer() string {
	var largest string
	var most int64 = -1
	for name, own := range a.customers {
		if own.bytes > most {
			largest, most = name, own.bytes
		}
	}
	return largest
}

func (a *AnswerCache) remove(customer string, element *list.Element) {
	answers := a.customers[customer]
	entry := answers.byAge.Remove(element).(*cachedAnswer)
	delete(answers.byKey, entry.key)
	answers.bytes -= entry.size()
	a.bytes -= entry.size()
}
