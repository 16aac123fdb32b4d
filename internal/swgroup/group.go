// Package swgroup starts goroutines that belong to an owner, so that each one is named, cancelled and awaited.
package swgroup

import (
	"context"
	"sync"
)

// Group runs named goroutines under one context. The zero value is not usable; construct it with New.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// New returns a group whose goroutines see a context derived from parent.
func New(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Go runs task in a goroutine. The context passed to the task ends when the group stops.
func (group *Group) Go(task func(ctx context.Context)) {
	group.wait.Go(func() { task(group.ctx) })
}

// Context returns the context that the group's goroutines see.
func (group *Group) Context() context.Context {
	return group.ctx
}

// Cancel ends the group's context without waiting.
func (group *Group) Cancel() {
	group.cancel()
}

// Wait blocks until every goroutine has returned.
func (group *Group) Wait() {
	group.wait.Wait()
}

// Stop cancels the context and waits for every goroutine.
func (group *Group) Stop() {
	group.cancel()
	group.wait.Wait()
}
