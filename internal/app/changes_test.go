package app

import (
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

func TestChanges(t *testing.T) {
	before := view{leader: "i1", instances: []string{"i1", "i2"}}
	tests := map[string]struct {
		after view
		want  []change
	}{
		"nothing":       {before, nil},
		"new leader":    {view{leader: "i2", instances: []string{"i1", "i2"}}, []change{{"leader", logrus.Fields{"leader": "i2", "before": "i1"}}}},
		"cut off":       {view{leader: "i1", notReady: failure.StaleState, instances: []string{"i1", "i2"}}, []change{{"not ready", logrus.Fields{"code": failure.StaleState}}}},
		"one replaced":  {view{leader: "i1", instances: []string{"i1", "i3"}}, []change{{"instance came", logrus.Fields{"name": "i3"}}, {"instance went", logrus.Fields{"name": "i2"}}}},
		"all different": {view{}, []change{{"leader", logrus.Fields{"leader": "", "before": "i1"}}, {"instance went", logrus.Fields{"name": "i1"}}, {"instance went", logrus.Fields{"name": "i2"}}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(changes(before, test.after), test.want)
		})
	}
	is.New(t).Equal(changes(view{notReady: failure.NotReady}, view{}), []change{{"ready", nil}})
}
