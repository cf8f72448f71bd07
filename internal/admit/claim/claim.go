// Package claim prevents non-idempotent requests from running twice. Before such a
// request runs, its claim is recorded by a quorum, the majority of a fixed set of replica
// slots in its home domain. Replicas keep claims only in memory. A replica therefore
// grants claims only for IDs that were created after it started: it can't know whether
// its predecessor in the slot had granted an older ID. The package does no I/O and takes
// time as an argument.
package claim

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"github.com/google/uuid"

	"fuchsiapier/internal/base/timer"
)

const (
	// Replicas is the number of slots that record a claim.
	Replicas = 3
	// layoutSettleTime is the time after a change of the slot layout until all nodes use
	// it. Claims for IDs created before that are not granted.
	layoutSettleTime = 20 * time.Second
	// maxIDLength is the maximum length of a request ID, in bytes.
	maxIDLength = 128
)

// ID is a request ID. It consists of Home, the failure domain that records its claim, and
// a UUIDv7, whose timestamp is Birth. Text is the whole ID.
type ID struct {
	Home    string
	Text    string
	Created time.Time
}

// NewID returns a new ID with the given home domain.
func NewID(home string) (ID, error) {
	u, err := uuid.NewV7()
	if err != nil {
		return ID{}, err
	}
	return ParseID(home + "." + u.String())
}

// ParseID parses an ID of the form "domain.uuidv7". It fails for an ID of another form or
// longer than 128 bytes.
func ParseID(text string) (ID, error) {
	if len(text) > maxIDLength {
		return ID{}, fmt.Errorf("request id: longer than %d bytes", maxIDLength)
	}
	home, rest, ok := strings.Cut(text, ".")
	if !ok || home == "" {
		return ID{}, fmt.Errorf("request id: must be <failure-domain>.<uuidv7>, got %q", text)
	}
	u, err := uuid.Parse(rest)
	if err != nil || u.Version() != 7 || len(rest) != len(uuid.Nil.String()) {
		return ID{}, fmt.Errorf("request id: must be <failure-domain>.<uuidv7>, got %q", text)
	}
	sec, nsec := u.Time().UnixTime()
	return ID{
		Home:    home,
		Text:    text,
		Created: time.Unix(sec, nsec),
	}, nil
}

// Slots returns the replica slots of an ID, as indexes into the slots of its home domain.
// They depend only on the ID and the number of slots, so that the quorums of any two
// claims for an ID have a slot in common.
func Slots(id string, slots int) []int {
	n := min(Replicas, slots)
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	first := int(h.Sum32() % uint32(max(slots, 1)))
	out := make([]int, 0, n)
	for i := range n {
		out = append(out, (first+i)%slots)
	}
	return out
}

// Quorum returns the number of replicas that must grant a claim, a majority.
func Quorum(replicas int) int {
	return replicas/2 + 1
}

// Verdict is a replica's decision on a claim.
type Verdict string

// The decisions of a replica.
const (
	// Granted means that the claim is recorded.
	Granted Verdict = "granted"
	// Taken means that another holder, named in Answer.Holder, or an earlier incarnation
	// of the same holder claimed the ID before.
	Taken Verdict = "taken"
	// Unverifiable means that the replica can't rule out an earlier claim that it has no
	// record of.
	Unverifiable Verdict = "unvouched"
	// Reused means that the ID was claimed before for a request with other content.
	Reused Verdict = "reused"
)

// Request asks a replica to record or to release a claim.
type Request struct {
	// Key is the workspace and the request ID.
	Key string `json:"key"`
	// Created is the creation time of the request ID.
	Created time.Time `json:"birth"`
	// Holder is the name of the node that wants to run the request.
	Holder string `json:"holder"`
	// Incarnation distinguishes the holder from a later process of the same name.
	Incarnation int64 `json:"incarnation"`
	// Attempt distinguishes the holder's claims for one key, so that a release that
	// arrives late does not remove a newer claim.
	Attempt uint64 `json:"attempt"`
	// Fingerprint is a hash of the request's content, to detect an ID that is used for two
	// different requests.
	Fingerprint uint64 `json:"fingerprint"`
	// Layout identifies the slot layout that the holder uses.
	Layout string `json:"layout"`
	// Release withdraws the holder's claim after the request did not run.
	Release bool `json:"release,omitempty"`
}

// Answer is a replica's response to a Request. If the key already had a record, it names
// the holder, incarnation and attempt of this record.
type Answer struct {
	Verdict     Verdict `json:"verdict"`
	Holder      string  `json:"holder,omitempty"`
	Incarnation int64   `json:"incarnation,omitempty"`
	Attempt     uint64  `json:"attempt,omitempty"`
}

// record is a granted claim. It tells which attempt of which holder may run the request.
type record struct {
	holder      string
	incarnation int64
	attempt     uint64
	fingerprint uint64
	at          timer.Instant
}

// Rules are the settings of a preset that concern claims.
type Rules struct {
	// Layout identifies the layout of replica slots in all failure domains.
	Layout string
	// Retention is the minimum time for which claims are kept. IDs older than Retention
	// minus ClockMargin are not granted.
	Retention time.Duration
	// ClockMargin is the maximum difference between the wall clocks of any two VMs, and
	// between those of a caller and a VM.
	ClockMargin time.Duration
}

// Replica records the claims of one replica slot. It is not safe for concurrent use.
type Replica struct {
	records map[string]record
	// order has the keys of the records, the oldest first, and may have released keys.
	order   []string
	started time.Time
	// layoutEffective is when all nodes use the current layout, or zero for the first
	// layout.
	layoutEffective time.Time
	rules           Rules
}

// NewReplica returns an empty replica that started at the given wall time.
func NewReplica(started time.Time) *Replica {
	return &Replica{
		records: map[string]record{},
		started: started,
	}
}

// Configure sets the rules. After a change of the layout, the replica grants claims only
// for IDs created once all nodes use it. Retention and ClockMargin never decrease.
func (r *Replica) Configure(wall time.Time, rules Rules) {
	if r.rules.Layout != "" && r.rules.Layout != rules.Layout {
		r.layoutEffective = wall.Add(layoutSettleTime)
	}
	rules.Retention = max(r.rules.Retention, rules.Retention)
	rules.ClockMargin = max(r.rules.ClockMargin, rules.ClockMargin)
	r.rules = rules
}

// canVerify reports whether the records contain every claim that may have been granted
// for an ID with the given creation time.
func (r *Replica) canVerify(created time.Time) bool {
	from := r.started
	if r.layoutEffective.After(from) {
		from = r.layoutEffective
	}
	return created.After(from.Add(2 * r.rules.ClockMargin))
}

// Claim records a claim and returns the decision. now is monotonic time, wall the wall time
// that is compared with the time of the ID.
func (r *Replica) Claim(now timer.Instant, wall time.Time, q Request) Answer {
	r.expire(now)
	if old, ok := r.records[q.Key]; ok {
		return r.answerRecorded(old, q)
	}
	tooOld := wall.Sub(q.Created) > r.rules.Retention-r.rules.ClockMargin
	fromFuture := q.Created.Sub(wall) > r.rules.ClockMargin
	if q.Layout != r.rules.Layout || tooOld || fromFuture || !r.canVerify(q.Created) {
		return Answer{
			Verdict: Unverifiable,
		}
	}
	r.records[q.Key] = record{
		holder:      q.Holder,
		incarnation: q.Incarnation,
		attempt:     q.Attempt,
		fingerprint: q.Fingerprint,
		at:          now,
	}
	r.order = append(r.order, q.Key)
	return Answer{
		Verdict: Granted,
	}
}

// answerRecorded decides on a claim for a key that has a record. Claims are idempotent: the
// recorded holder is granted its claim again, with the new attempt.
func (r *Replica) answerRecorded(old record, q Request) Answer {
	verdict := Taken
	switch {
	case old.fingerprint != q.Fingerprint:
		verdict = Reused
	case old.holder == q.Holder && old.incarnation == q.Incarnation:
		verdict = Granted
		old.attempt = q.Attempt
		r.records[q.Key] = old
	}
	return Answer{
		Verdict:     verdict,
		Holder:      old.holder,
		Incarnation: old.incarnation,
		Attempt:     old.attempt,
	}
}

// Release removes the claim of one attempt after its request did not run. It ignores a
// record of another holder, incarnation or attempt.
func (r *Replica) Release(q Request) {
	old, ok := r.records[q.Key]
	if ok && old.holder == q.Holder && old.incarnation == q.Incarnation && old.attempt == q.Attempt {
		delete(r.records, q.Key)
	}
}

// Len returns the number of recorded claims.
func (r *Replica) Len() int {
	return len(r.records)
}

// expire removes claims whose IDs are too old to be claimed again.
func (r *Replica) expire(now timer.Instant) {
	for len(r.order) > 0 {
		key := r.order[0]
		old, ok := r.records[key]
		if ok && now.Sub(old.at) <= r.rules.Retention+2*r.rules.ClockMargin {
			return
		}
		delete(r.records, key)
		r.order = r.order[1:]
	}
}
