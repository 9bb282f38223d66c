package discovery

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sabletally/internal/lab/standin"
)

// answers stands for the network: what a call gets.
type answers func(*http.Request) (status int, text string)

func (a answers) RoundTrip(r *http.Request) (*http.Response, error) {
	status, text := a(r)
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Body: io.NopCloser(strings.NewReader(text))}, r.Context().Err()
}

var known = List{Rev: 41, Whole: true, Servers: []Server{{UID: "s"}}}

// TestWhatIsAskedAfterEachAnswer has a busy discovery, which has lost no change, asked on from the known list, and one that
// can't be read for the whole list, as a change may hide there.
func TestWhatIsAskedAfterEachAnswer(t *testing.T) {
	w := &Watch{}
	const busy, news, whole, on = "503", `{"rev":50,"all":false,"targets":[]}`, "", "from=41&"
	for _, l := range []List{{}, {Rev: 41}, {Rev: 41, Whole: true}, known} {
		if w.From(l); w.whole != (len(l.Servers) > 0) {
			t.Errorf("goes on from %+v: %v", l, w.whole)
		}
	}
	type steps = []string
	for _, c := range []struct{ answers, asked steps }{
		{steps{busy, busy, news, busy}, steps{on, on, on, "from=50&", "from=50&"}},
		{steps{`{"rev":50,"all":false,"targets":[{"uid"`}, steps{on, whole}}, {steps{`{}`}, steps{on, whole}}, {steps{"404"}, steps{on, whole}},
	} {
		synctest.Test(t, func(t *testing.T) {
			var asked []string
			w := New("desk", 2, false, func(List) {}, func(error) {})
			w.From(known)
			w.client.Transport = answers(func(r *http.Request) (int, string) {
				if asked = append(asked, r.URL.RawQuery); len(asked) > len(c.answers) {
					<-r.Context().Done()
					return http.StatusOK, ""
				}
				text := c.answers[len(asked)-1]
				if status, err := strconv.Atoi(text); err == nil {
					return status, ""
				}
				return http.StatusOK, text
			})
			go w.Run(t.Context())
			time.Sleep(4 * time.Second)
			for n, want := range c.asked {
				if len(asked) <= n || !strings.HasPrefix(asked[n], want) || want == whole && asked[n] != whole {
					t.Fatalf("%+v: asked %q", c, asked)
				}
			}
		})
	}
}

// An answer that is lost counts as told two seconds after the wait, where the list is pushed.
func TestManyCallersPauseLonger(t *testing.T) {
	few, many, shared, huge := New("", 2, false, nil, nil), New("", 80, false, nil, nil), New("", 80, true, nil, nil), New("", 1e5, true, nil, nil)
	if few.most != pauseMost || few.hold != hold || few.answer >= 2*time.Second || many.most != 4*time.Second || many.low <= few.low ||
		many.hold != 40*time.Second || many.answer >= 2*time.Second || shared.answer <= 2*time.Second || huge.hold != holdMost || huge.most != shareLast {
		t.Errorf("%+v, %+v, %+v, %+v", few, many, shared, huge)
	}
}

// Eighty balancers start at once, most of them again ten seconds later, at a discovery that does eight calls a second;
// half a minute on the list changes. Those that are not told that it is shared hear nothing.
func TestManyBalancersAllFollowABusyDiscovery(t *testing.T) {
	heard := func(shared bool) int64 {
		var count atomic.Int64
		synctest.Test(t, func(t *testing.T) {
			desk := standin.NewDesk(125*time.Millisecond, 2*time.Second)
			start := func(ctx context.Context, n int) {
				for range n {
					w := New("desk", 80, shared, func(List) { count.Add(1) }, func(error) {})
					w.From(known)
					w.client.Transport = desk
					go w.Run(ctx)
				}
			}
			first, kill := context.WithCancel(t.Context())
			start(first, 56)
			start(t.Context(), 24)
			time.Sleep(10 * time.Second)
			kill()
			start(t.Context(), 56)
			time.Sleep(30 * time.Second)
			desk.Change(42, `{"rev":42,"all":false,"targets":[]}`)
			time.Sleep(time.Second)
		})
		return count.Load()
	}
	if shared, not := heard(true), heard(false); shared < 78 || not > 60 {
		t.Fatalf("%d of 80 hear of a change at once, %d where they are not told that it is shared", shared, not)
	}
}
