// Package super implements a supervisor tree. A supervisor runs tasks and
// restarts those that fail. To stop, it cancels the context of its tasks, runs
// its cleanup functions, those of child supervisors included, in the reverse of
// the order in which they were registered, and waits for its tasks to return.
// The cleanup functions run before the wait, since some tasks return only once
// their listener or connection is closed.
package super

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Bounds of the delay before a failed task is restarted; it doubles with each
// failure of the task.
const (
	restartDelayMin = 50 * time.Millisecond
	restartDelayMax = 5 * time.Second
)

// Task is a supervised function. It runs until its context ends; one that returns
// nil is not restarted.
type Task func(ctx context.Context) error

// Tree is one supervisor, with the supervisors below it.
type Tree struct {
	name     string
	log      zerolog.Logger
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	mu       sync.Mutex
	cleanups []func()
}

// New returns a root supervisor and the function that stops it with everything
// below it. The name stands before the names of tasks in log lines.
func New(name string, log zerolog.Logger) (*Tree, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Tree{
		name:   name,
		log:    log,
		ctx:    ctx,
		cancel: cancel,
	}
	return t, t.stop
}

// Child adds a supervisor below t, which is stopped as one of t's cleanup
// functions.
func (t *Tree) Child(name string) *Tree {
	c, stop := New(t.name+"/"+name, t.log)
	t.Cleanup(stop)
	return c
}

// Cleanup registers a cleanup function, which is called once when t stops. One that is
// registered after that is not called.
func (t *Tree) Cleanup(cleanup func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cleanups = append(t.cleanups, cleanup)
}

// Run starts a task on a goroutine of its own. A task that returns an error or
// panics is restarted with exponential backoff.
func (t *Tree) Run(name string, task Task) {
	t.wg.Go(func() {
		t.supervise(name, task)
	})
}

func (t *Tree) supervise(name string, task Task) {
	delay := restartDelayMin
	for t.ctx.Err() == nil {
		err := runTask(t.ctx, task)
		if err == nil || t.ctx.Err() != nil {
			return
		}
		t.log.Error().Str("task", t.name+"/"+name).Err(err).Dur("restart-in", delay).Msg("task failed")
		select {
		case <-t.ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = min(delay*2, restartDelayMax)
	}
}

// runTask runs a task once and returns a panic as an error.
func runTask(ctx context.Context, task Task) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v", r)
		}
	}()
	return task(ctx)
}

func (t *Tree) stop() {
	t.cancel()
	t.mu.Lock()
	cleanups := t.cleanups
	t.cleanups = nil
	t.mu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	t.wg.Wait()
}
