package routing

import (
	"slices"

	"pinewinch.example/pinewinch/internal/coordination/routing/admission"
)

// equalViews reports whether two views lead to the same decisions.
func equalViews(a, b *admission.View) bool {
	return a.Epoch == b.Epoch &&
		a.CutOff == b.CutOff &&
		slices.Equal(a.Members, b.Members) &&
		slices.Equal(a.Customers, b.Customers) &&
		slices.EqualFunc(a.Minions, b.Minions, equalMinions)
}

func equalMinions(a, b admission.Minion) bool {
	return a.ID == b.ID &&
		a.Incarnation == b.Incarnation &&
		a.Address == b.Address &&
		a.Slots == b.Slots &&
		slices.Equal(a.Services, b.Services)
}
