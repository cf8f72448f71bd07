package state

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"
)

const (
	keyIDBytes  = 6
	secretBytes = 24
	// maxKeyLength bounds the key text that a caller may present, in bytes.
	maxKeyLength = 128
)

// Key is a workspace key as stored in the configuration. The key text itself is
// not stored, only its hash.
type Key struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	// Hash is the hexadecimal SHA-256 of the whole key text, "ID.SECRET".
	Hash string `json:"hash"`
}

// NewKey generates a random key for a workspace. It returns the key to store and
// the key text, which can't be recovered from the stored key.
func NewKey(workspace string) (Key, string) {
	id := strings.ToLower(hex.EncodeToString(randomBytes(keyIDBytes)))
	text := id + "." + base64.RawURLEncoding.EncodeToString(randomBytes(secretBytes))
	return Key{
		ID:        id,
		Workspace: workspace,
		Hash:      hash(text),
	}, text
}

func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b) // crypto/rand.Read never returns an error
	return b
}

func hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the key whose hash is that of text. The hashes are compared
// in constant time.
func (s State) Authenticate(text string) (Key, bool) {
	if len(text) > maxKeyLength {
		return Key{}, false
	}
	id, _, ok := strings.Cut(text, ".")
	if !ok {
		return Key{}, false
	}
	k, ok := s.Keys[id]
	if !ok {
		return Key{}, false
	}
	same := subtle.ConstantTimeCompare([]byte(hash(text)), []byte(k.Hash)) == 1
	return k, same
}
