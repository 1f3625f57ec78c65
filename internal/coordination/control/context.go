package control

import "context"

// WithDone returns a context that ends when ctx ends or done is closed. The caller must
// call the cancel function.
func WithDone(ctx context.Context, done <-chan struct{}) (context.Context, context.CancelFunc) {
	child, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-done:
			cancel()
		case <-child.Done():
		}
	}()
	return child, cancel
}
