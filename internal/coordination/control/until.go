package control

import "context"

// Until gives a context that ends with ctx, or when done is closed.
func Until(ctx context.Context, done <-chan struct{}) (context.Context, context.CancelFunc) {
	until, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-done:
			cancel()
		case <-until.Done():
		}
	}()
	return until, cancel
}
