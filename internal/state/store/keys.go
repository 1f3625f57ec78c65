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

// A key runs at most once for ever, but a full claim is kept for claimLife
// only. After that a key that carries its time of making (a ULID) is refused by
// its age, and any other leaves a hash behind, at 8 bytes each. Neither list of
// hashes grows past maxSpentKeys: from there on a customer's new keys must be
// ULIDs. So memory is bounded, and no passage of time lets a key run twice.
const (
	// claimLife is how long a claim and its outcome can be looked up.
	claimLife = time.Hour
	// maxSpentKeys bounds the hashes kept for one customer, 8 bytes each.
	maxSpentKeys = 1 << 20
	// expiredPerClaim is how many old claims each new one may push out: more
	// than one, so that the list shrinks after a burst, and few, so that no
	// command waits for a long clean-up.
	expiredPerClaim = 2
	// bucketShift leaves the first 12 bits of a hash: 4096 buckets of about 256
	// hashes, so that adding one copies about 2 KB.
	bucketShift = 64 - 12
)

// keyTime gives the time of making that a ULID carries.
func keyTime(key string) (ms int64, ok bool) {
	id, err := ulid.ParseStrict(key)
	return int64(id.Time()), err == nil
}

// keySpent tells whether the key was used by a claim that has expired, or may
// have been: it is older than claims are kept.
func (s *State) keySpent(customer, key string) bool {
	if ms, timed := keyTime(key); timed && ms+claimLife.Milliseconds() < s.timeMs {
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

// insertClaim starts a new attempt and its time to live.
func (s *State) insertClaim(claim *controlpb.Claim) *controlpb.Claim {
	if old, ok := s.Claim(claim.Customer, claim.Key); ok {
		s.claimExpiry, _, _ = s.claimExpiry.Delete(expiryKey(old))
	}
	claim = proto.CloneOf(claim)
	claim.ExpiresMs = max(s.timeMs, claim.PendingUntilMs) + claimLife.Milliseconds()
	s.putClaim(claim)
	s.claimExpiry, _, _ = s.claimExpiry.Insert(expiryKey(claim), struct{}{})
	return claim
}

func (s *State) putClaim(claim *controlpb.Claim) {
	s.claims, _, _ = s.claims.Insert(claimKey(claim.Customer, claim.Key), claim)
}

// expireClaims drops at most limit old claims, the oldest first: the work is
// that of the expired ones, not of all that are kept.
func (s *State) expireClaims(limit int) {
	var old [][]byte
	s.claimExpiry.Root().Walk(func(key []byte, _ struct{}) bool {
		if int64(binary.BigEndian.Uint64(key)) >= s.timeMs || len(old) == limit {
			return true
		}
		old = append(old, key)
		return false
	})
	for _, key := range old {
		claim, _ := s.claims.Get(key[expiryTimeBytes:])
		s.claims, _, _ = s.claims.Delete(key[expiryTimeBytes:])
		s.claimExpiry, _, _ = s.claimExpiry.Delete(key)
		s.spend(claim)
	}
}

// spend remembers a key that may have run, unless its own age refuses it.
func (s *State) spend(claim *controlpb.Claim) {
	if claim.Outcome == controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN || s.keySpent(claim.Customer, claim.Key) {
		return
	}
	hash := keyHash(claim.Key)
	at := bucketKey(claim.Customer, hash)
	bucket, _ := s.spent.Get(at)
	place, _ := slices.BinarySearch(bucket.GetHashes(), hash)
	s.spent, _, _ = s.spent.Insert(at, &controlpb.SpentKeys{
		Customer: claim.Customer,
		Bucket:   uint32(hash >> bucketShift),
		Hashes:   slices.Insert(slices.Clone(bucket.GetHashes()), place, hash),
	})
	count, _ := s.spentCounts.Get([]byte(claim.Customer))
	s.spentCounts, _, _ = s.spentCounts.Insert([]byte(claim.Customer), count+1)
}

// restoreClaims rebuilds what follows from the claims and spent keys.
func (s *State) restoreClaims(snapshot *controlpb.Snapshot) {
	s.claims = fill(snapshot.Claims, func(c *controlpb.Claim) []byte { return claimKey(c.Customer, c.Key) })
	for _, claim := range snapshot.Claims {
		s.claimExpiry, _, _ = s.claimExpiry.Insert(expiryKey(claim), struct{}{})
	}
	s.spent = fill(snapshot.SpentKeys, func(k *controlpb.SpentKeys) []byte {
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

// expiryTimeBytes is the length of the time that an expiry key opens with; the
// key of the claim follows.
const expiryTimeBytes = 8

func expiryKey(claim *controlpb.Claim) []byte {
	at := binary.BigEndian.AppendUint64(nil, uint64(claim.ExpiresMs))
	return append(at, claimKey(claim.Customer, claim.Key)...)
}
