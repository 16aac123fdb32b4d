// Package swgroup runs goroutines under an owner, which can cancel them and wait for them.
package swgroup

import (
	"context"
	"sync"
)

// Group runs goroutines under one context. Construct it with New; the zero value is not usable.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// New returns a group whose goroutines receive a context derived from parent.
func New(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Go runs task in a goroutine. The context passed to task ends when the group is cancelled or stopped.
func (group *Group) Go(task func(ctx context.Context)) {
	group.wait.Go(func() { task(group.ctx) })
}

// Context returns the context of the group's goroutines.
func (group *Group) Context() context.Context {
	return group.ctx
}

// Cancel cancels the context without waiting for the goroutines.
func (group *Group) Cancel() {
	group.cancel()
}

// Wait blocks until every goroutine has returned.
func (group *Group) Wait() {
	group.wait.Wait()
}

// Stop cancels the context and blocks until every goroutine has returned.
func (group *Group) Stop() {
	group.cancel()
	group.wait.Wait()
}
