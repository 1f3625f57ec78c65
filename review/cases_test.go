package main

import (
	"errors"
	"os/exec"
	"testing"
)

// TestReview plays the cases of the review, after the build of the deploy file and of
// review/build.sh. It is no part of the repository's own test run: review is a module of its
// own.
func TestReview(t *testing.T) {
	for _, number := range []string{"1", "2", "3", "4", "5"} {
		t.Run(number, func(t *testing.T) {
			out, err := exec.Command("./" + number + "/run.sh").CombinedOutput()
			var exit *exec.ExitError
			switch {
			case errors.As(err, &exit) && exit.ExitCode() == couldNot:
				t.Skipf("the case could not run: %s", out)
			case err != nil:
				t.Fatalf("%s", out)
			}
		})
	}
}
