package call

import (
	"strconv"
	"strings"

	"fuchsiapier/internal/admit/crash"
)

// FieldCrash carries what the sending node knows against the request: the crashes of targets
// during which it ran. It is part of calls, and of the responses of gates.
const FieldCrash = "Fp-Crash"

// maxEvidence bounds the crashes that a value of FieldCrash names: more than are needed to
// quarantine a request.
const maxEvidence = 8

// EncodeEvidence returns the value of FieldCrash, "" where there is no evidence: for each crash its ID
// in hexadecimal form, the number of requests that ran and its age in milliseconds, separated by
// colons; crashes are separated by commas.
func EncodeEvidence(crashes []crash.Crash) string {
	var parts []string
	for _, c := range crashes[:min(len(crashes), maxEvidence)] {
		parts = append(parts, c.ID.String()+":"+strconv.Itoa(c.Ran)+":"+strconv.FormatInt(c.AgeMillis, 10))
	}
	return strings.Join(parts, ",")
}

// DecodeEvidence parses a value of FieldCrash that came with a request. Malformed parts are left out.
func DecodeEvidence(value string, f crash.Fingerprint) []crash.Crash {
	if value == "" {
		return nil
	}
	var out []crash.Crash
	for part := range strings.SplitSeq(value, ",") {
		fields := strings.Split(part, ":")
		if len(fields) != 3 || len(out) == maxEvidence {
			continue
		}
		id, err1 := strconv.ParseUint(fields[0], 16, 64)
		ran, err2 := strconv.Atoi(fields[1])
		age, err3 := strconv.ParseInt(fields[2], 10, 64)
		if err1 != nil || err2 != nil || err3 != nil || ran < 1 || age < 0 {
			continue
		}
		out = append(out, crash.Crash{
			ID:        crash.ID(id),
			AgeMillis: age,
			Ran:       ran,
			Running:   []crash.Fingerprint{f},
		})
	}
	return out
}
