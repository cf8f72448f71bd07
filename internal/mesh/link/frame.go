package link

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	// headerSize is the size in bytes of a frame's header, the big-endian length
	// of its body.
	headerSize = 4
	// maxFrameBytes bounds the body of a frame.
	maxFrameBytes = 8 << 20
	// maxQueuedBytes bounds the frame bodies that one connection has received and
	// not yet decoded.
	maxQueuedBytes = 64 << 20
)

// writeTimeout bounds the wait for space in a connection's send buffer, which a
// peer that reads nothing leaves full.
const writeTimeout = 1 * time.Second

var (
	errFrameTooLarge = errors.New("frame body exceeds the size limit")
	errWriteTimeout  = errors.New("write timed out: peer accepts no data")
)

// frameSize returns the size in bytes of a frame's body, given its header. A size
// above maxFrameBytes is an error.
func frameSize(header []byte) (int, error) {
	size := int(binary.BigEndian.Uint32(header))
	if size > maxFrameBytes {
		return 0, errFrameTooLarge
	}
	return size, nil
}

// nextFrame removes one frame from a connection's inbound buffer and returns a
// copy of its body; body is nil while the frame is incomplete. Until the whole
// frame has arrived only its header is read.
func nextFrame(c gnet.Reader) (body []byte, err error) {
	if c.InboundBuffered() < headerSize {
		return nil, nil
	}
	header, err := c.Peek(headerSize)
	if err != nil {
		return nil, err
	}
	size, err := frameSize(header)
	if err != nil || c.InboundBuffered() < headerSize+size {
		return nil, err
	}
	frame, err := c.Next(headerSize + size)
	if err != nil {
		return nil, err
	}
	return append([]byte{}, frame[headerSize:]...), nil
}

// encodeFrame returns v as JSON in a frame.
func encodeFrame(v any) ([]byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	if len(body) > maxFrameBytes {
		return nil, errFrameTooLarge
	}
	frame := make([]byte, headerSize, headerSize+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}

// stream implements jsonrpc2.ObjectStream with frames on a gnet connection.
type stream struct {
	conn gnet.Conn
	// onSend is called with the size of each frame before it is written.
	onSend func(bytes int)
	// mu guards queue, queuedBytes and closed; ready signals that a frame was queued
	// or that the stream was closed.
	mu          sync.Mutex
	ready       *sync.Cond
	queue       [][]byte
	queuedBytes int
	closed      bool
	// writeMu serializes writes and guards fd. fd is a duplicate of the
	// connection's file descriptor and -1 once it is closed: without a duplicate a
	// write could reach another connection to which the kernel has given the same
	// descriptor number.
	writeMu sync.Mutex
	fd      int
}

func newStream(conn gnet.Conn, onSend func(bytes int)) (*stream, error) {
	fd, err := conn.Dup()
	if err != nil {
		return nil, err
	}
	s := &stream{
		conn:   conn,
		onSend: onSend,
		fd:     fd,
	}
	s.ready = sync.NewCond(&s.mu)
	return s, nil
}

// push queues the body of a received frame for ReadObject without blocking the
// event loop. It returns false if the stream is closed or its queue is full.
func (s *stream) push(body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.queuedBytes+len(body) > maxQueuedBytes {
		return false
	}
	s.queue = append(s.queue, body)
	s.queuedBytes += len(body)
	s.ready.Signal()
	return true
}

// ReadObject implements jsonrpc2.ObjectStream: it waits for a frame and decodes
// its body. It returns io.EOF once the stream is closed and its queue is empty.
func (s *stream) ReadObject(v any) error {
	s.mu.Lock()
	for len(s.queue) == 0 && !s.closed {
		s.ready.Wait()
	}
	if len(s.queue) == 0 {
		s.mu.Unlock()
		return io.EOF
	}
	body := s.queue[0]
	s.queue = s.queue[1:]
	s.queuedBytes -= len(body)
	s.mu.Unlock()
	return json.Unmarshal(body, v)
}

// WriteObject implements jsonrpc2.ObjectStream: it sends v as one frame; jsonrpc2
// never calls it concurrently. It writes from the calling goroutine, since a
// write by the event loop would cost two more thread wake-ups for each call.
func (s *stream) WriteObject(v any) error {
	frame, err := encodeFrame(v)
	if err != nil {
		return err
	}
	s.onSend(len(frame))
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.fd < 0 {
		return net.ErrClosed
	}
	return writeAll(s.fd, frame)
}

// writeAll writes data to a non-blocking file descriptor. It returns
// errWriteTimeout if the descriptor does not become writable within writeTimeout.
func writeAll(fd int, data []byte) error {
	for len(data) > 0 {
		n, err := unix.Write(fd, data)
		switch {
		case err == nil:
			data = data[n:]
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			if err := waitWritable(fd); err != nil {
				return err
			}
		default:
			return err
		}
	}
	return nil
}

// waitWritable waits until a file descriptor is writable, has failed or a signal
// interrupts the wait; the caller then tries its write again.
func waitWritable(fd int) error {
	poll := []unix.PollFd{
		{
			Fd:     int32(fd),
			Events: unix.POLLOUT,
		},
	}
	n, err := unix.Poll(poll, int(writeTimeout.Milliseconds()))
	if n == 0 && err == nil {
		return errWriteTimeout
	}
	if errors.Is(err, unix.EINTR) {
		return nil
	}
	return err
}

// Close implements jsonrpc2.ObjectStream; it closes the stream and its connection.
func (s *stream) Close() error {
	s.release()
	return s.conn.Close()
}

// release closes the stream but not the gnet connection: it wakes the reader,
// waits for a write in progress and closes the duplicate file descriptor.
func (s *stream) release() {
	s.mu.Lock()
	s.closed = true
	s.ready.Broadcast()
	s.mu.Unlock()
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.fd >= 0 {
		_ = unix.Close(s.fd)
		s.fd = -1
	}
}
