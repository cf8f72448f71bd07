package crowd

import (
	"slices"
	"time"
)

const (
	megabyte = 1 << 20
	// smallPiece and smallPause are those of bodies that arrive piece by piece.
	smallPiece = 16 << 10
	smallPause = 2 * time.Millisecond
)

// kinds are the crowds with a name: what a client sends in them.
var kinds = map[string]Settings{
	"unfinished": {
		Requests:  1,
		Announced: 8 * megabyte,
		Sent:      8*megabyte - 1,
	},
	"unfinished-piece": {
		Requests:  1,
		Announced: 8 * megabyte,
		Sent:      8*megabyte - 1,
		Piece:     smallPiece,
		Pause:     smallPause,
	},
	"unfinished-chunk": {
		Requests:  1,
		Announced: 8 * megabyte,
		Sent:      7 * megabyte,
		Chunk:     megabyte,
	},
	"small-chunks": {
		Requests:  1,
		Announced: 8 * megabyte,
		Sent:      8*megabyte - 1024,
		Chunk:     1024,
	},
	"one-byte-chunks": {
		Requests:  1,
		Announced: 8 * megabyte,
		Sent:      4 * megabyte,
		Chunk:     1,
	},
	"medium": {
		Requests:  1,
		Announced: 400_000,
		Sent:      400_000 - 1,
	},
	"whole": {
		Requests:  1,
		Announced: 8 * megabyte,
		Sent:      8 * megabyte,
	},
	"announced": {
		Requests:  1,
		Announced: 60 * megabyte,
		Sent:      1,
	},
	"expect": {
		Requests:  1,
		Announced: 60 * megabyte,
		Expect:    true,
	},
	"over-limit": {
		Requests:  1,
		Announced: 256 * megabyte,
		Sent:      256 * megabyte,
	},
	"over-limit-chunk": {
		Requests:  1,
		Announced: 256 * megabyte,
		Sent:      256 * megabyte,
		Chunk:     64 << 10,
	},
	"ahead": {
		Requests:  40,
		Announced: megabyte,
		Sent:      megabyte,
	},
	"small-ahead": {
		Requests:  40,
		Announced: 100,
		Sent:      100,
	},
	"unread": {
		Requests: 16,
		Unread:   true,
	},
	"heads": {
		Requests:  1,
		HeadBytes: 60,
	},
	"idle": {},
}

// Kinds returns the names of the crowds.
func Kinds() []string {
	var out []string
	for name := range kinds {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// OfKind returns what the clients of a crowd with a name send, and false if there is no such crowd.
func OfKind(name string) (Settings, bool) {
	s, ok := kinds[name]
	return s, ok
}
