package discovery

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sabletally/internal/lab/standin"
)

// answers stands for the network: what a call gets.
type answers func(*http.Request) (status int, text string)

func (a answers) RoundTrip(r *http.Request) (*http.Response, error) {
	status, text := a(r)
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Body: io.NopCloser(strings.NewReader(text)), Request: r}, r.Context().Err()
}

// Eighty balancers start at once, most of them again ten seconds later, at a discovery that does eight calls a second;
// half a minute on the list changes. Those that are not told that it is shared hear nothing.
func TestManyBalancersAllFollowABusyDiscovery(t *testing.T) {
	heard := func(shared bool) (all int) {
		synctest.Test(t, func(t *testing.T) {
			desk, changed := standin.NewDesk(125*time.Millisecond, 2*time.Second), make(chan struct{})
			ctx, stop := context.WithCancel(t.Context())
			got := make(chan bool, 200)
			start := func(ctx context.Context) {
				w := New("desk", 80, shared, func(l List) {
					if l.Rev == 42 {
						got <- true
					}
				}, func(error) {})
				w.From(List{Rev: 41, Whole: true, Servers: []Server{{UID: "s"}}})
				w.client.Transport = answers(func(r *http.Request) (int, string) {
					if !desk.Take(r.Context()) {
						return http.StatusServiceUnavailable, ""
					}
					news := changed
					if !strings.Contains(r.URL.RawQuery, "from=41") { // it has heard already
						news = nil
					}
					select {
					case <-news:
						return http.StatusOK, `{"rev":42,"all":false,"targets":[]}`
					case <-r.Context().Done():
						return http.StatusOK, ""
					}
				})
				go w.Run(ctx)
			}
			first, kill := context.WithCancel(ctx)
			for n := range 80 {
				start(map[bool]context.Context{true: first, false: ctx}[n < 56])
			}
			time.Sleep(10 * time.Second)
			kill()
			for range 56 {
				start(ctx)
			}
			time.Sleep(30 * time.Second)
			close(changed)
			time.Sleep(time.Second)
			all = len(got)
			stop()
		})
		return all
	}
	if shared, not := heard(true), heard(false); shared < 78 || not > 60 {
		t.Fatalf("%d of 80 hear of a change at once, %d where they are not told that it is shared", shared, not)
	}
}
