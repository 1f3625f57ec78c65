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
	recorder := httptest.NewRecorder()
	Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	is.True(strings.Contains(recorder.Body.String(), "metrics_test_counter 7\n"))
	is.True(strings.Contains(recorder.Body.String(), "metrics_test_map.b 2\n"))
	is.True(!strings.Contains(recorder.Body.String(), "cmdline"))
}
