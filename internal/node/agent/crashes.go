package agent

import (
	"strconv"
	"time"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/poison"
)

// logCrash logs new evidence of a crash: a line for the crash, and one for each request that is
// suspected or quarantined now, or is no longer.
func (a *Agent) logCrash(n poison.News) {
	age := time.Duration(n.Crash.AgeMillis) * time.Millisecond
	var noted []string
	for _, e := range n.Changed {
		fingerprint := strconv.FormatUint(uint64(e.Fingerprint), 16)
		if e.Standing == crash.Noted {
			noted = append(noted, fingerprint)
			continue
		}
		a.log.Warn().Str("fingerprint", fingerprint).Str("standing", string(e.Standing)).Int64("left-ms", e.LeftMillis).
			Int("crashes", len(a.crashes.Evidence(e.Fingerprint))).Str("crash", crashName(n.Crash.ID)).
			Str("from", n.From).Int64("age-ms", age.Milliseconds()).Msg("standing of a request changed")
	}
	a.log.Info().Str("crash", crashName(n.Crash.ID)).Str("from", n.From).Int64("age-ms", age.Milliseconds()).
		Int("ran", n.Crash.Ran).Strs("noted", noted).Msg("crash of a target known")
}

// logCleared logs that a run has cleared a request.
func (a *Agent) logCleared(f crash.Fingerprint) {
	a.requestLog.Info().Str("fingerprint", strconv.FormatUint(uint64(f), 16)).Msg("request cleared of crash suspicion")
}

// crashName returns the text of the ID of a crash, as log lines contain it.
func crashName(id crash.ID) string {
	return strconv.FormatUint(uint64(id), 16)
}
