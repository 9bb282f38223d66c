package discovery

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// asked answers calls by a script, one after the other, and tells what was asked. The last answer is held.
func asked(t *testing.T, known List, script ...func(w http.ResponseWriter)) []string {
	t.Helper()
	calls := make(chan string, 16)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	n := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.String()
		if n++; n <= len(script) {
			script[n-1](w)
			return
		}
		<-r.Context().Done()
	}))
	defer s.Close()
	defer stop()
	w := New(strings.TrimPrefix(s.URL, "http://"), 2, false, func(List) {}, func(error) {})
	w.From(known)
	go w.Run(ctx)
	var all []string
	for range len(script) + 1 {
		select {
		case c := <-calls:
			all = append(all, c)
		case <-time.After(10 * time.Second):
			t.Fatalf("only asked %q", all)
		}
	}
	return all
}

func busy(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }

func text(s string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) { w.Write([]byte(s)) }
}

const news = `{"rev":50,"all":false,"targets":[]}`

// Whole lists are dear where many ask, and a busy discovery has lost none of the changes.
func TestTheKnownListIsGoneOnFromWhateverDiscoveryIsBusyWith(t *testing.T) {
	known := List{Rev: 41, Whole: true, Servers: []Server{{UID: "s"}}}
	all := asked(t, known, busy, busy, text(news), busy)
	for n, want := range []string{"from=41&", "from=41&", "from=41&", "from=50&", "from=50&"} {
		if !strings.Contains(all[n], want) {
			t.Errorf("call %d is %s, not %s", n, all[n], want)
		}
	}
}

// What can't be read may hide a change: the whole list closes the gap. So it does where nothing is known.
func TestTheWholeListIsAskedForWhereThereIsAGap(t *testing.T) {
	known := List{Rev: 41, Whole: true, Servers: []Server{{UID: "s"}}}
	for _, cut := range []func(http.ResponseWriter){text(`{"rev":50,"all":false,"targets":[{"uid"`), text(`{}`),
		func(w http.ResponseWriter) { w.WriteHeader(http.StatusNotFound) }} {
		if all := asked(t, known, cut); strings.Contains(all[1], "from") {
			t.Errorf("after an answer that can't be read it asks %s", all[1])
		}
	}
	for _, l := range []List{{}, {Rev: 41}, {Rev: 41, Whole: true}} {
		if all := asked(t, l); strings.Contains(all[0], "from") {
			t.Errorf("from %+v it asks %s", l, all[0])
		}
	}
}

// Eighty balancers that are told to come again in step keep a discovery from answering any of them.
func TestManyCallersPauseLonger(t *testing.T) {
	few, many, shared := New("", 2, false, nil, nil), New("", 80, false, nil, nil), New("", 80, true, nil, nil)
	// An answer that is lost counts as told two seconds after the wait, where the list is pushed.
	if few.answer >= 2*time.Second || many.answer >= 2*time.Second || shared.answer <= 2*time.Second || shared.most <= many.most {
		t.Errorf("answers may take %v, %v and %v", few.answer, many.answer, shared.answer)
	}
	if few.most != pauseMost || few.hold != hold {
		t.Errorf("of two each pauses up to %v and waits %v", few.most, few.hold)
	}
	if many.most != 4*time.Second || many.hold != 40*time.Second || many.low <= few.low {
		t.Errorf("of eighty each pauses from %v up to %v and waits %v", many.low, many.most, many.hold)
	}
	if huge := New("", 100000, false, nil, nil); huge.hold != holdMost || huge.most != pauseLast {
		t.Errorf("of a hundred thousand each pauses up to %v and waits %v", huge.most, huge.hold)
	}
}
