package app

import (
	"time"

	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/coordination/membership"
)

var membershipModule = fx.Module("membership",
	fx.Provide(newRegistry, newSoftState),
	fx.Invoke(runSoftState),
)

func newRegistry() *membership.Registry { return membership.NewRegistry(time.Now) }

func runSoftState(lifecycle fx.Lifecycle, soft *softState) {
	background(lifecycle, soft.run)
}
