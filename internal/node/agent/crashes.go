package agent

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/poison"
	"fuchsiapier/internal/node/watch"
)

// crashesPrefix precedes the name of a node in the key under which the store keeps the evidence
// against the requests that crashed the targets on its VM.
const crashesPrefix = "crashes/"

// maxStoredRequests bounds the requests in a stored record.
const maxStoredRequests = 100

// storedCrashes is the record of a node in the store, encoded as a CBOR array.
type storedCrashes struct {
	_ struct{} `cbor:",toarray"`
	// WrittenAt is when the record was written, in Unix milliseconds by the VM's own clock, which
	// may be off by seconds: evidence counts for minutes.
	WrittenAt int64
	Crashes   []crash.Crash
}

// crashKnown handles new evidence of a crash.
func (a *Agent) crashKnown(n poison.News) {
	a.logCrash(n)
	for _, e := range n.Changed {
		if e.Standing == crash.Quarantined && a.crashes.Own(e.Fingerprint) {
			a.storeCrashes()
			return
		}
	}
}

// storeCrashes stores the evidence against the quarantined requests: without it, a request that
// crashes targets would have to crash some again after all nodes were restarted.
func (a *Agent) storeCrashes() {
	value, err := cbor.Marshal(storedCrashes{
		WrittenAt: time.Now().UnixMilli(),
		Crashes:   a.crashes.Quarantined(maxStoredRequests),
	})
	if err != nil {
		a.log.Error().Err(err).Msg("evidence of crashes not encoded")
		return
	}
	a.watcher.Store(watch.Record{
		Key:   crashesPrefix + a.deploy.Node,
		Value: value,
	})
}

// restoreCrashes merges the evidence that a node has stored.
func (a *Agent) restoreCrashes(r watch.Record) {
	var stored storedCrashes
	if err := cbor.Unmarshal(r.Value, &stored); err != nil {
		a.log.Warn().Err(err).Str("key", r.Key).Msg("stored evidence of crashes skipped")
		return
	}
	elapsed := max(time.Now().UnixMilli()-stored.WrittenAt, 0)
	for i := range stored.Crashes {
		stored.Crashes[i].AgeMillis += elapsed
	}
	a.crashes.Learn(r.Key, stored.Crashes)
}

// logCrash logs new evidence of a crash: a line for the crash, and one for each request that is
// suspected or quarantined now, or is no longer.
func (a *Agent) logCrash(n poison.News) {
	age := time.Duration(n.Crash.AgeMillis) * time.Millisecond
	var noted []string
	for _, e := range n.Changed {
		fingerprint := e.Fingerprint.String()
		if e.Standing == crash.Noted {
			noted = append(noted, fingerprint)
			continue
		}
		a.log.Warn().Str("fingerprint", fingerprint).Str("standing", string(e.Standing)).Int64("left-ms", e.LeftMillis).
			Int("crashes", len(a.crashes.Evidence(e.Fingerprint))).Str("crash", n.Crash.ID.String()).
			Str("from", n.From).Int64("age-ms", age.Milliseconds()).Msg("standing of a request changed")
	}
	a.log.Info().Str("crash", n.Crash.ID.String()).Str("from", n.From).Int64("age-ms", age.Milliseconds()).
		Int("ran", n.Crash.Ran).Strs("noted", noted).Msg("crash of a target known")
}

// logCleared logs that a run has cleared a request.
func (a *Agent) logCleared(f crash.Fingerprint) {
	a.requestLog.Info().Str("fingerprint", f.String()).Msg("request cleared of crash suspicion")
}
