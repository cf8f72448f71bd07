// Package frame implements the protocol that carries requests and responses
// between nodes. Traffic between failure domains is billed by the byte, so header
// fields are compressed with HPACK (RFC 7541), whose dynamic tables live as long as
// the connection; bodies are sent uncompressed. A connection carries one exchange
// at a time.
//
// A frame consists of its length (4 bytes, the number of bytes that follow), the
// length of the header block (2 bytes), the header block and the body. Lengths are
// big-endian. A frame of length 0 (go away) says that its sender reads no further
// requests; the number of requests that it has read on the connection follows (8 bytes).
// It comes after the responses to these, and the connection carries nothing after it.
// Nodes of earlier versions send no number, and ignore it.
//
// A frame of length 1 (withdrawal) follows a request before its response: the request is to be
// refused unless it has been passed on. It holds one byte, which has no meaning. Nodes of
// earlier versions take it for malformed and close the connection.
package frame

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"strconv"
	"strings"

	"golang.org/x/net/http2/hpack"

	"fuchsiapier/internal/pipe/body"
	"fuchsiapier/internal/pipe/head"
	"fuchsiapier/internal/pipe/httpc"
	"fuchsiapier/internal/pipe/msg"
)

const (
	// frameLengthSize and blockLengthSize are the sizes of the length fields, in
	// bytes.
	frameLengthSize = 4
	blockLengthSize = 2
	// withdrawalSize is the length of a withdrawal.
	withdrawalSize = 1
	// readCountSize is the size of the number in a go away frame, in bytes.
	readCountSize = 8
	// maxFrame bounds the length of a frame, in bytes.
	maxFrame = 80 << 20
	// maxHeaderBlock bounds a header block, in bytes; its length field has 16 bits.
	maxHeaderBlock = 1<<16 - 1
	// roomBehindHead bounds the room for a body behind an encoded head, in bytes.
	roomBehindHead = 8 << 10
	// tableSize bounds the dynamic table of a connection's decoder, in bytes; it is
	// the default of the encoder's.
	tableSize = 4 << 10
)

// Pseudo-header fields of requests and responses.
const (
	fieldMethod = ":method"
	fieldPath   = ":path"
	fieldHost   = ":authority"
	fieldStatus = ":status"
	// fieldBody marks a request that has a body, even an empty one.
	fieldBody = ":body"
)

// Errors of a connection.
var (
	errTooLarge  = errors.New("frame or header block exceeds its limit")
	errMalformed = errors.New("malformed frame")
	// errUncounted means that a peer reads no further requests, and does not say how many it has read.
	errUncounted = errors.New("go away frame without the number of requests read")
)

// errWithdrawal means that a peer withdraws the request that it sent last.
var errWithdrawal = errors.New("request withdrawn")

// withdrawal is the frame that withdraws a request.
var withdrawal = []byte{0, 0, 0, withdrawalSize, 0}

// goAwayError means that the peer reads no further requests.
type goAwayError struct {
	// read is the number of requests that the peer has read on the connection.
	read uint64
}

func (e goAwayError) Error() string {
	return "peer reads no further requests than " + strconv.FormatUint(e.read, 10)
}

// appendGoAway appends a go away frame.
func appendGoAway(out []byte, read uint64) []byte {
	out = binary.BigEndian.AppendUint32(out, 0)
	return binary.BigEndian.AppendUint64(out, read)
}

// readGoAway reads a go away frame behind its length and returns the error that it stands for.
func readGoAway(r io.Reader) error {
	var count [readCountSize]byte
	if _, err := io.ReadFull(r, count[:]); err != nil {
		return errors.Join(errUncounted, err)
	}
	return goAwayError{
		read: binary.BigEndian.Uint64(count[:]),
	}
}

// Fields are the header fields of a message in order, pseudo-header fields
// included.
type Fields []hpack.HeaderField

// Get returns the value of the first field with a name, matched case-insensitively;
// "" where there is none.
func (f Fields) Get(name string) string {
	for i := range f {
		if strings.EqualFold(f[i].Name, name) {
			return f[i].Value
		}
	}
	return ""
}

// size returns the length of all names and values, in bytes.
func (f Fields) size() int {
	n := 0
	for i := range f {
		n += len(f[i].Name) + len(f[i].Value)
	}
	return n
}

// Lines returns the fields as header lines, without pseudo-header fields and those
// named in drop.
func (f Fields) Lines(drop ...string) []byte {
	out := make([]byte, 0, 256)
	for i := range f {
		if strings.HasPrefix(f[i].Name, ":") || contains(drop, f[i].Name) {
			continue
		}
		out = msg.AppendField(out, f[i].Name, f[i].Value)
	}
	return out
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}

// parseLines appends the fields of header lines; lines without a colon and a space
// are left out.
func parseLines(out Fields, lines []byte) Fields {
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(": "))
		if !ok {
			continue
		}
		out = append(out, hpack.HeaderField{
			Name:  string(name),
			Value: string(value),
		})
	}
	return out
}

// codec encodes and decodes the frames of one connection. It holds the HPACK state
// of both directions.
type codec struct {
	block   bytes.Buffer
	encoder *hpack.Encoder
	decoder *hpack.Decoder
	// bodies bounds the memory of the responses that are read.
	bodies *httpc.Bodies
	// neverIndexed names fields, case-sensitively, whose values never repeat. They are
	// sent as never-indexed literals, to leave the dynamic table to the others.
	neverIndexed map[string]bool
}

// newCodec returns a codec that never indexes the path and the named fields.
func newCodec(bodies *httpc.Bodies, neverIndexed ...string) *codec {
	c := &codec{
		bodies:       bodies,
		decoder:      hpack.NewDecoder(tableSize, nil),
		neverIndexed: map[string]bool{fieldPath: true},
	}
	c.decoder.SetMaxStringLength(maxHeaderBlock)
	c.encoder = hpack.NewEncoder(&c.block)
	for _, name := range neverIndexed {
		c.neverIndexed[name] = true
	}
	return c
}

// appendHead encodes the part of a message's frame before its body, which has the given length. After an
// error the encoder's table may differ from the peer's, so the connection must be closed.
func (c *codec) appendHead(fields Fields, bodyLength int) ([]byte, error) {
	c.block.Reset()
	for _, f := range fields {
		f.Sensitive = c.neverIndexed[f.Name]
		if err := c.encoder.WriteField(f); err != nil {
			return nil, err
		}
	}
	if c.block.Len() > maxHeaderBlock {
		return nil, errTooLarge
	}
	size := blockLengthSize + c.block.Len() + bodyLength
	out := make([]byte, 0, frameLengthSize+blockLengthSize+c.block.Len()+min(bodyLength, roomBehindHead))
	out = binary.BigEndian.AppendUint32(out, uint32(size))
	out = binary.BigEndian.AppendUint16(out, uint16(c.block.Len()))
	return append(out, c.block.Bytes()...), nil
}

// read decodes the next frame; it returns a goAwayError for one of length 0, and errWithdrawal for a
// withdrawal.
func (c *codec) read(r io.Reader) (Fields, body.Body, error) {
	fields, length, err := c.readHead(r)
	if err != nil {
		return nil, body.Body{}, err
	}
	content, err := c.bodies.Read(r, length)
	return fields, content, err
}

// readHead decodes the part of the next frame before its body, and returns the length of that. Its errors are
// those of read.
func (c *codec) readHead(r io.Reader) (fields Fields, bodyLength int, err error) {
	var head [frameLengthSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, 0, err
	}
	size := binary.BigEndian.Uint32(head[:])
	switch {
	case size == 0:
		return nil, 0, readGoAway(r)
	case size == withdrawalSize:
		if _, err := io.ReadFull(r, head[:withdrawalSize]); err != nil {
			return nil, 0, err
		}
		return nil, 0, errWithdrawal
	case size < blockLengthSize:
		return nil, 0, errMalformed
	case size > maxFrame:
		return nil, 0, errTooLarge
	}
	if _, err := io.ReadFull(r, head[:blockLengthSize]); err != nil {
		return nil, 0, err
	}
	blockLength := int(binary.BigEndian.Uint16(head[:]))
	bodyLength = int(size) - blockLengthSize - blockLength
	if bodyLength < 0 {
		return nil, 0, errMalformed
	}
	block := make([]byte, blockLength)
	if _, err := io.ReadFull(r, block); err != nil {
		return nil, 0, err
	}
	fields, err = c.decoder.DecodeFull(block)
	if err != nil {
		return nil, 0, errors.Join(errMalformed, err)
	}
	return fields, bodyLength, nil
}

// Request is a request from another node. The Fields of its msg.Request are not
// set; Header holds them.
type Request struct {
	msg.Request
	// Header holds all fields: those to forward, and those that the nodes add for
	// each other.
	Header Fields
	// Withdrawn ends if the sending node withdraws the request: it is to be refused unless it
	// has been passed on.
	Withdrawn context.Context
	// NoMemory says that this node had no memory for the body, which is empty then: the request is to be
	// refused.
	NoMemory bool
}

// Answer is a response from another node.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Header holds all fields: those to forward, and those that the nodes add for
	// each other.
	Header Fields
	Body   body.Body
}

// requestFields returns the fields of a request and of extra header lines.
func requestFields(r *msg.Request, extra []byte) Fields {
	fields := Fields{
		{Name: fieldMethod, Value: r.Method},
		{Name: fieldPath, Value: r.URI},
		{Name: fieldHost, Value: r.Host},
	}
	if r.HasBody {
		fields = append(fields, hpack.HeaderField{
			Name:  fieldBody,
			Value: "1",
		})
	}
	fields = parseLines(fields, r.Fields)
	return parseLines(fields, extra)
}

// valid reports whether the names and values of the fields may stand in the head of a message.
func (f Fields) valid() bool {
	for i := range f {
		if !head.ValidName(strings.TrimPrefix(f[i].Name, ":")) || !head.ValidValue(f[i].Value) {
			return false
		}
	}
	return true
}

// decodeRequest returns errMalformed for a request without a method or a path, or with a field that may
// not stand in the head of a message.
func decodeRequest(fields Fields, content body.Body) (*Request, error) {
	r := &Request{
		Header: fields,
		Request: msg.Request{
			Method:  fields.Get(fieldMethod),
			URI:     fields.Get(fieldPath),
			Host:    fields.Get(fieldHost),
			HasBody: fields.Get(fieldBody) != "",
			Body:    content,
		},
	}
	if r.Method == "" || r.URI == "" || !fields.valid() {
		return nil, errMalformed
	}
	return r, nil
}

// decodeResponse returns errMalformed for a response whose status is not that of a final response, or
// with a field that may not stand in the head of a message.
func decodeResponse(fields Fields, content body.Body) (*Answer, error) {
	status, err := strconv.Atoi(fields.Get(fieldStatus))
	if err != nil || !head.ValidStatus(status) || !fields.valid() {
		return nil, errors.Join(errMalformed, err)
	}
	return &Answer{
		Status: status,
		Header: fields,
		Body:   content,
	}, nil
}
