package runner

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"sync"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/level"
	"fuchsiapier/internal/admit/retry"
	"fuchsiapier/internal/edge/wire"
)

// handleBytes is the length of a handle, long enough to be unguessable.
const handleBytes = 16

// activeCall is a call that the target is running. Its nested calls inherit its
// deadline, workspace and priority, and share its retry allowance.
type activeCall struct {
	ctx       context.Context
	call      wire.Call
	allowance *retry.Allowance
	mu        sync.Mutex
	// ordinals counts the nested calls without an ID, by the digest of the request.
	ordinals map[string]int
	// downstream holds the admission levels of the services that the nested calls
	// have reached.
	downstream level.Levels
}

// childID returns the ID of a nested call, which is its idempotency key. If the
// target gives no ID, childID derives it from a digest of the request and from an
// ordinal that distinguishes equal requests, so that another run of the parent makes
// the same nested calls under the same IDs.
func (a *activeCall) childID(givenID, method, path string, body []byte) string {
	if givenID != "" {
		return a.call.ID + "/" + givenID
	}
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00", method, path)
	_, _ = h.Write(body)
	digest := hex.EncodeToString(h.Sum(nil)[:8])
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ordinals[digest]++
	return fmt.Sprintf("%s/%s.%d", a.call.ID, digest, a.ordinals[digest])
}

// mergeLevels records the admission levels that a nested call reported.
func (a *activeCall) mergeLevels(l level.Levels) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.downstream = a.downstream.Merge(l)
}

func (a *activeCall) downstreamLevels() level.Levels {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.downstream
}

// handles maps handles to the active calls. A target receives the handle with each
// request and presents it with the nested calls of that request.
type handles struct {
	mu    sync.RWMutex
	calls map[string]*activeCall
}

func newHandles() *handles {
	return &handles{
		calls: map[string]*activeCall{},
	}
}

// open registers a call under a new handle; close must be called when it ends.
func (h *handles) open(ctx context.Context, c wire.Call) (string, *activeCall) {
	b := make([]byte, handleBytes)
	_, _ = rand.Read(b) // never fails, as crypto/rand documents
	handle := base64.RawURLEncoding.EncodeToString(b)
	a := &activeCall{
		ctx:       ctx,
		call:      c,
		allowance: retry.NewAllowance(c.Retries),
		ordinals:  map[string]int{},
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls[handle] = a
	return handle, a
}

func (h *handles) get(handle string) (*activeCall, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	a, ok := h.calls[handle]
	return a, ok
}

func (h *handles) close(handle string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.calls, handle)
}

// fingerprints returns the fingerprints of all active calls.
func (h *handles) fingerprints() []crash.Fingerprint {
	h.mu.RLock()
	defer h.mu.RUnlock()
	out := make([]crash.Fingerprint, 0, len(h.calls))
	for _, a := range h.calls {
		out = append(out, crash.Fingerprint(a.call.Fingerprint))
	}
	return out
}

// nestedContext returns a context for a nested call that ends at the deadline of
// the call or with its parent.
func nestedContext(parent *activeCall, c wire.Call) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent.ctx, c.Left())
}
