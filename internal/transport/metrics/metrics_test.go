package metrics

import (
	"expvar"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestMetricsAreLines(t *testing.T) {
	is := is.New(t)
	expvar.NewInt("metrics_test_counter").Set(7)
	expvar.NewMap("metrics_test_map").Add("b", 2)
	answer := httptest.NewRecorder()
	Handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	is.True(strings.Contains(answer.Body.String(), "metrics_test_counter 7\n"))
	is.True(strings.Contains(answer.Body.String(), "metrics_test_map.b 2\n"))
	is.True(!strings.Contains(answer.Body.String(), "cmdline"))
}
