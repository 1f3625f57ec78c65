package store

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// A key never runs more than once, but a full claim is kept only for claimRetention.
// After that, a key that carries its creation time (a ULID) is refused by its age, and
// for any other key an 8-byte hash is kept. A key whose claim has expired is called
// spent. The hashes of one customer are limited to maxSpentKeys; beyond that, new keys
// of the customer must be ULIDs. Memory is thus limited, and no key can run twice however
// much time passes.
const (
	// claimRetention is how long a claim and its outcome can be looked up.
	claimRetention = time.Hour
	// maxSpentKeys limits the hashes kept for one customer, at 8 bytes each.
	maxSpentKeys = 1 << 20
	// expiredPerClaim is how many expired claims are removed for each new one: more than
	// one, so that the table shrinks after a burst, but few, so that no command takes
	// long.
	expiredPerClaim = 2
	// bucketShift selects the first 12 bits of a hash: 4096 buckets of about 256 hashes
	// each at the limit, so that adding one copies about 2 KB.
	bucketShift = 64 - 12
)

// keyTime returns the creation time, in Unix milliseconds, of a key that is a ULID.
func keyTime(key string) (ms int64, ok bool) {
	id, err := ulid.ParseStrict(key)
	return int64(id.Time()), err == nil
}

// isSpentKey reports whether the key was used by a claim that has expired, or may have
// been because the key is older than the retention of claims.
func (s *State) isSpentKey(customer, key string) bool {
	if ms, hasTime := keyTime(key); hasTime && ms+claimRetention.Milliseconds() < s.timeMs {
		return true
	}
	hash := keyHash(key)
	bucket, _ := s.spent.Get(bucketKey(customer, hash))
	_, found := slices.BinarySearch(bucket.GetHashes(), hash)
	return found
}

func (s *State) spentKeysFull(customer string) bool {
	count, _ := s.spentCounts.Get([]byte(customer))
	return count >= maxSpentKeys
}

// insertClaim stores a new attempt and sets its expiry time.
func (s *State) insertClaim(claim *controlpb.Claim) *controlpb.Claim {
	if old, ok := s.Claim(claim.Customer, claim.Key); ok {
		s.claimExpiry, _, _ = s.claimExpiry.Delete(expiryKey(old))
	}
	claim = proto.CloneOf(claim)
	claim.ExpiresMs = max(s.timeMs, claim.PendingUntilMs) + claimRetention.Milliseconds()
	s.putClaim(claim)
	s.claimExpiry, _, _ = s.claimExpiry.Insert(expiryKey(claim), struct{}{})
	return claim
}

func (s *State) putClaim(claim *controlpb.Claim) {
	s.claims, _, _ = s.claims.Insert(claimKey(claim.Customer, claim.Key), claim)
}

// expireClaims removes at most limit expired claims, oldest first. Its cost depends on
// the number of expired claims, not on all that are kept.
func (s *State) expireClaims(limit int) {
	var expired [][]byte
	s.claimExpiry.Root().Walk(func(key []byte, _ struct{}) bool {
		if int64(binary.BigEndian.Uint64(key)) >= s.timeMs || len(expired) == limit {
			return true
		}
		expired = append(expired, key)
		return false
	})
	for _, key := range expired {
		claim, _ := s.claims.Get(key[expiryTimeBytes:])
		s.claims, _, _ = s.claims.Delete(key[expiryTimeBytes:])
		s.claimExpiry, _, _ = s.claimExpiry.Delete(key)
		s.recordSpentKey(claim)
	}
}

// recordSpentKey stores the hash of a key that may have run, unless the key is refused
// by its age.
func (s *State) recordSpentKey(claim *controlpb.Claim) {
	if claim.Outcome == controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN || s.isSpentKey(claim.Customer, claim.Key) {
		return
	}
	hash := keyHash(claim.Key)
	at := bucketKey(claim.Customer, hash)
	bucket, _ := s.spent.Get(at)
	position, _ := slices.BinarySearch(bucket.GetHashes(), hash)
	s.spent, _, _ = s.spent.Insert(at, &controlpb.SpentKeys{
		Customer: claim.Customer,
		Bucket:   uint32(hash >> bucketShift),
		Hashes:   slices.Insert(slices.Clone(bucket.GetHashes()), position, hash),
	})
	count, _ := s.spentCounts.Get([]byte(claim.Customer))
	s.spentCounts, _, _ = s.spentCounts.Insert([]byte(claim.Customer), count+1)
}

// restoreClaims restores the claims and spent keys and rebuilds their indexes.
func (s *State) restoreClaims(snapshot *controlpb.Snapshot) {
	s.claims = buildTable(snapshot.Claims, func(c *controlpb.Claim) []byte { return claimKey(c.Customer, c.Key) })
	for _, claim := range snapshot.Claims {
		s.claimExpiry, _, _ = s.claimExpiry.Insert(expiryKey(claim), struct{}{})
	}
	s.spent = buildTable(snapshot.SpentKeys, func(k *controlpb.SpentKeys) []byte {
		return bucketKey(k.Customer, uint64(k.Bucket)<<bucketShift)
	})
	for _, bucket := range snapshot.SpentKeys {
		count, _ := s.spentCounts.Get([]byte(bucket.Customer))
		s.spentCounts, _, _ = s.spentCounts.Insert([]byte(bucket.Customer), count+len(bucket.Hashes))
	}
}

func keyHash(key string) uint64 {
	sum := sha256.Sum256([]byte(key))
	return binary.BigEndian.Uint64(sum[:])
}

func bucketKey(customer string, hash uint64) []byte {
	return binary.BigEndian.AppendUint16([]byte(customer+"/"), uint16(hash>>bucketShift))
}

// expiryTimeBytes is the length of the expiry time at the start of an expiry key. The key
// of the claim follows it.
const expiryTimeBytes = 8

func expiryKey(claim *controlpb.Claim) []byte {
	at := binary.BigEndian.AppendUint64(nil, uint64(claim.ExpiresMs))
	return append(at, claimKey(claim.Customer, claim.Key)...)
}
