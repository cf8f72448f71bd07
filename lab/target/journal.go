package target

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"
)

// Entry is one line of a target's journal: an event of a request. Tests read
// the journals to check which requests ran, where and how often.
type Entry struct {
	// Event is "begin" at the start of a run, "end" at its end, and "refused" for a
	// request that was shed. A begin without an end is a request that is still
	// running or whose target exited.
	Event     string    `json:"event"`
	At        time.Time `json:"at"`
	Instance  string    `json:"instance"`
	Service   string    `json:"service"`
	Request   string    `json:"request"`
	Workspace string    `json:"workspace"`
	Path      string    `json:"path"`
	Body      string    `json:"body,omitempty"`
	// KeySeen says that the request carried a caller's API key, which must not
	// reach a target.
	KeySeen bool `json:"key-seen,omitempty"`
	// State is the state that the target announced at the time: "ready" or
	// "draining".
	State string `json:"state,omitempty"`
}

// Journal appends entries to a file, one JSON object a line. Writes are
// unbuffered, so that a target that is killed loses no entry. It is safe for
// concurrent use.
type Journal struct {
	mu   sync.Mutex
	file *os.File
}

// OpenJournal opens the journal in the named file, creating the file if needed,
// and returns it with the function that closes it. A journal without a name
// discards its entries.
func OpenJournal(name string) (*Journal, func(), error) {
	if name == "" {
		return &Journal{}, func() {}, nil
	}
	f, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, err
	}
	return &Journal{
		file: f,
	}, func() { _ = f.Close() }, nil
}

// Add appends an entry. Its errors are those of encoding and writing it.
func (j *Journal) Add(e Entry) error {
	if j.file == nil {
		return nil
	}
	line, err := json.Marshal(e)
	if err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	_, err = j.file.Write(append(line, '\n'))
	return err
}

// ReadJournal returns the entries of the journal in the named file. It stops
// without an error at the first line that is not valid JSON, since a target that
// is killed may leave its last line incomplete.
func ReadJournal(name string) ([]Entry, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var out []Entry
	s := bufio.NewScanner(f)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		var e Entry
		if json.Unmarshal(s.Bytes(), &e) != nil {
			break
		}
		out = append(out, e)
	}
	return out, s.Err()
}
