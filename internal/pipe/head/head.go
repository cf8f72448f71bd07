// Package head checks the heads of HTTP/1.1 messages by the grammar of RFC 9110 and RFC 9112 before any
// other code parses them: bytes that are no answer must not be taken for one, and a head that two
// programs read differently must not be passed on. It is stricter than these documents where
// they let a recipient repair what it reads.
package head

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
)

// Reason says why a head is not valid. Its values are metric labels and stand in log lines.
type Reason string

// The reasons.
const (
	// BadStatus means that the status line is not "HTTP/1.x", a status from 100 to 599 and a
	// phrase.
	BadStatus Reason = "status-line"
	// BadRequestLine means that the request line is not a method, a target and "HTTP/1.x", each
	// separated by one blank.
	BadRequestLine Reason = "request-line"
	// BadHost means that a request does not name one host.
	BadHost Reason = "host"
	// BadName means that the name of a field is not a token, for example holds a blank.
	BadName Reason = "field-name"
	// BadValue means that the value of a field holds a control byte, or that a line is continued on the
	// next one.
	BadValue Reason = "field-value"
	// BadLineEnd means that a line does not end with CR LF.
	BadLineEnd Reason = "line-end"
	// BadLength means that the length of the body is not given, or is given in several ways.
	BadLength Reason = "length"
	// BadCoding means that the transfer coding is not "chunked" alone.
	BadCoding Reason = "transfer-coding"
	// BadTrailer means that the fields behind a chunked body are not valid.
	BadTrailer Reason = "trailer"
	// BadUpgrade means that the peer changes the protocol, which nobody has asked for.
	BadUpgrade Reason = "upgrade"
	// TooLong means that the head does not fit into the buffer of its reader.
	TooLong Reason = "head-too-long"
)

// Error means that a message has a head that is not valid.
type Error struct {
	Reason Reason
	// Line is the line at fault, cut to maxShown bytes.
	Line []byte
}

// maxShown bounds the bytes of a line in an error.
const maxShown = 64

// Error returns the reason and the line at fault.
func (e *Error) Error() string {
	return fmt.Sprintf("malformed head: %s: %q", e.Reason, e.Line)
}

// fail returns an error with a copy of the line at fault.
func fail(reason Reason, line []byte) error {
	return &Error{
		Reason: reason,
		Line:   bytes.Clone(line[:min(len(line), maxShown)]),
	}
}

const (
	statusPrefix = "HTTP/1."
	// statusLineSize is the size of a status line without its phrase: "HTTP/1.1 200 ".
	statusLineSize = len(statusPrefix) + len("1 200 ")
	statusAt       = len(statusPrefix) + len("1 ")
	minStatus      = 100
	maxStatus      = 599
	switching      = 101
)

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// PeekResponse checks the head of the response that r has next, and leaves it there. It returns
// an *Error for one that is not valid, and the error of r if the head does not arrive.
func PeekResponse(r *bufio.Reader) error {
	if _, err := r.Peek(1); err != nil {
		return err
	}
	return peek(r, func(data []byte) error {
		if begin := min(len(data), len(statusPrefix)); string(data[:begin]) != statusPrefix[:begin] {
			return fail(BadStatus, data)
		}
		return nil
	}, CheckResponse)
}

// PeekRequest checks the head of the request that r has next, and leaves it there. Empty lines before it are
// dropped. It returns an *Error for one that is not valid, and the error of r if the head does not arrive.
func PeekRequest(r *bufio.Reader) error {
	for {
		begin, err := r.Peek(1)
		if err != nil {
			return err
		}
		if begin[0] != '\r' {
			break
		}
		begin, err = r.Peek(len(lineEnd))
		if err != nil {
			return err
		}
		if !bytes.Equal(begin, lineEnd) {
			return fail(BadLineEnd, begin)
		}
		_, _ = r.Discard(len(lineEnd))
	}
	return peek(r, func([]byte) error { return nil }, CheckRequest)
}

// peek waits until r has a whole head and checks it; begin checks what has arrived of it so far.
func peek(r *bufio.Reader, begin, check func(data []byte) error) error {
	for {
		data, _ := r.Peek(r.Buffered())
		if err := begin(data); err != nil {
			return err
		}
		if end := bytes.Index(data, headEnd); end >= 0 {
			return check(data[:end+len(headEnd)])
		}
		if hasBareLineFeed(data) {
			return fail(BadLineEnd, data)
		}
		if len(data) == r.Size() {
			return fail(TooLong, data)
		}
		if _, err := r.Peek(len(data) + 1); err != nil {
			return err
		}
	}
}

// hasBareLineFeed reports whether a line of an incomplete head ends without CR, so that the empty line is not
// awaited in vain.
func hasBareLineFeed(data []byte) bool {
	i := bytes.IndexByte(data, '\n')
	return i == 0 || i > 0 && data[i-1] != '\r'
}

// CheckResponse checks the head of a response, up to and with the empty line.
func CheckResponse(head []byte) error {
	line, fields, _ := bytes.Cut(head, lineEnd)
	status, err := parseStatus(line)
	if err != nil {
		return err
	}
	f := framing{}
	if err := eachField(fields, f.add); err != nil {
		return err
	}
	switch {
	case status == switching:
		return fail(BadUpgrade, line)
	case f.coded && f.hasLength:
		return fail(BadLength, line)
	case f.coded && line[len(statusPrefix)] == '0':
		return fail(BadCoding, line)
	}
	return nil
}

// CheckRequest checks the head of a request, up to and with the empty line.
func CheckRequest(head []byte) error {
	line, fields, _ := bytes.Cut(head, lineEnd)
	minor, err := parseRequestLine(line)
	if err != nil {
		return err
	}
	f := framing{}
	hosts := 0
	err = eachField(fields, func(name, value []byte) error {
		if bytes.EqualFold(name, host) {
			hosts++
		}
		return f.add(name, value)
	})
	switch {
	case err != nil:
		return err
	case hosts > 1 || hosts == 0 && minor > 0:
		return fail(BadHost, line)
	case f.coded && f.hasLength:
		return fail(BadLength, line)
	case f.coded && minor == 0:
		return fail(BadCoding, line)
	}
	return nil
}

// parseRequestLine checks a request line and returns the minor version in it, 0 or 1.
func parseRequestLine(line []byte) (minor int, err error) {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if !ValidName(method) || len(target) == 0 || len(version) != len(statusPrefix)+1 || !bytes.HasPrefix(version, []byte(statusPrefix)) {
		return 0, fail(BadRequestLine, line)
	}
	for _, c := range target {
		if c <= ' ' || c == 0x7f {
			return 0, fail(BadRequestLine, line)
		}
	}
	minor = int(version[len(statusPrefix)] - '0')
	if minor != 0 && minor != 1 {
		return 0, fail(BadRequestLine, line)
	}
	return minor, nil
}

// parseStatus returns the status in a status line.
func parseStatus(line []byte) (int, error) {
	if len(line) < statusLineSize || !bytes.HasPrefix(line, []byte(statusPrefix)) || !isDigit(line[len(statusPrefix)]) ||
		line[statusAt-1] != ' ' || line[statusLineSize-1] != ' ' {
		return 0, fail(BadStatus, line)
	}
	status := 0
	for _, c := range line[statusAt : statusLineSize-1] {
		if !isDigit(c) {
			return 0, fail(BadStatus, line)
		}
		status = 10*status + int(c-'0')
	}
	if status < minStatus || status > maxStatus || !ValidValue(line[statusLineSize:]) {
		return 0, fail(BadStatus, line)
	}
	return status, nil
}

// framing is what the fields of a head say about the end of the body.
type framing struct {
	hasLength bool
	coded     bool
}

// Names of fields.
var (
	host             = []byte("Host")
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	chunked          = []byte("chunked")
)

// add checks a field that is about the end of the body. Each may be there once.
func (f *framing) add(name, value []byte) error {
	switch {
	case bytes.EqualFold(name, contentLength):
		if f.hasLength || !isLength(value) {
			return fail(BadLength, value)
		}
		f.hasLength = true
	case bytes.EqualFold(name, transferEncoding):
		if f.coded || !bytes.EqualFold(value, chunked) {
			return fail(BadCoding, value)
		}
		f.coded = true
	}
	return nil
}

// eachField calls f with the name and the value of each field line, up to the empty line.
func eachField(lines []byte, f func(name, value []byte) error) error {
	for {
		line, rest, ended := bytes.Cut(lines, lineEnd)
		switch {
		case !ended:
			return fail(BadLineEnd, line)
		case len(line) == 0:
			return nil
		}
		name, value, err := splitField(line)
		if err != nil {
			return err
		}
		if err := f(name, value); err != nil {
			return err
		}
		lines = rest
	}
}

// splitField checks a field line and returns its name and its value without the blanks around it.
func splitField(line []byte) (name, value []byte, err error) {
	colon := bytes.IndexByte(line, ':')
	switch {
	case bytes.IndexByte(line, '\n') >= 0:
		return nil, nil, fail(BadLineEnd, line)
	case line[0] == ' ' || line[0] == '\t':
		return nil, nil, fail(BadValue, line)
	case colon < 0 || !ValidName(line[:colon]):
		return nil, nil, fail(BadName, line)
	}
	value = bytes.Trim(line[colon+1:], " \t")
	if !ValidValue(value) {
		return nil, nil, fail(BadValue, line)
	}
	return line[:colon], value, nil
}

// ReadTrailer reads and checks the fields behind a chunked body. They are dropped: no field that
// arrives there may be merged into the head unless it is known to be safe (RFC 9110, section 6.5.1).
func ReadTrailer(r *bufio.Reader) error {
	for size := 0; ; {
		line, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) || size > r.Size() {
			return fail(TooLong, line)
		}
		if err != nil {
			return err
		}
		if !bytes.HasSuffix(line, lineEnd) {
			return fail(BadLineEnd, line)
		}
		size += len(line)
		line = line[:len(line)-len(lineEnd)]
		if len(line) == 0 {
			return nil
		}
		if _, _, err := splitField(line); err != nil {
			return fail(BadTrailer, line)
		}
	}
}

// ValidStatus reports whether a number is the status of a final response.
func ValidStatus(status int) bool {
	return status >= 200 && status <= maxStatus
}

// ValidName reports whether a field name is a token (RFC 9110, section 5.6.2).
func ValidName[T ~string | ~[]byte](name T) bool {
	for i := range len(name) {
		if !tokenBytes[name[i]] {
			return false
		}
	}
	return len(name) > 0
}

// ValidValue reports whether a field value holds no control bytes but tabs.
func ValidValue[T ~string | ~[]byte](value T) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// tokenBytes are the bytes of tokens.
var tokenBytes = func() (t [256]bool) {
	for c := range t {
		t[c] = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), byte(c)) >= 0
	}
	return t
}()

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}

// maxLengthDigits bounds the digits of a content length, so that it fits into 63 bits.
const maxLengthDigits = 18

// isLength reports whether a value is a content length.
func isLength(value []byte) bool {
	for _, c := range value {
		if !isDigit(c) {
			return false
		}
	}
	return len(value) > 0 && len(value) <= maxLengthDigits
}
