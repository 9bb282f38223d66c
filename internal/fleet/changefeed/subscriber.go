package changefeed

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sabletally/internal/fleet/shardmap"
)

const (
	relaysWanted = 2
	relaysMost   = 3    // connections at once, while one takes another's place
	listMost     = 4096 // relays that are known, seeds among them; further ones are not looked at
	asksMost     = 8    // renewals whose answers are waited for; the oldest is forgotten first
	claimsKept   = 4    // answers for versions that are still to come, for each relay
	ackEach      = 64 << 10
	backFirst    = time.Second // a relay that failed is passed over for so long, twice as long each time that it fails again,
	backMost     = 30 * time.Second
	backAlone    = 1500 * time.Millisecond // but so long where no relay is left, all by chance from a half to one and a half
	toldAlone    = 4 * time.Second         // the same of one that sent this follower elsewhere
	dialAlone    = 200 * time.Millisecond  // between two dials then
	soundAfter   = 10 * time.Second        // a relay that served so long has failed no time before
	returnFrom   = 20 * time.Second        // until a better ranked relay takes a worse one's place, by chance up to twice as long more
	seededFrom   = 2 * time.Second         // the same where the worse one was found by a seed
	oddFor       = time.Minute             // a relay of another history, or another fleet, is passed over
	elsewhereMin = time.Second
	elsewhereMax = 5 * time.Minute
	suspectFor   = 10 * time.Second // a site where relays of two zones failed within it comes after the others
	sitesMost    = 16
	pastKept     = 64          // versions whose digest is remembered, to know a relay of another history that lags
	snapshotIn   = time.Minute // one message may take so long while bytes of it come
)

// SubscriberConfig is what a follower begins with.
type SubscriberConfig struct {
	ID, Name            string
	Incarnation         uint64 // grows with each start
	Machine, Zone, Site string
	Fleet               string   // empty where it is not known yet
	Seeds               []string // addresses of relays, used while none is known, and after those that are
	Lease               time.Duration
	Seed                uint64
}

// SubscriberSend is one message to one relay.
type SubscriberSend struct {
	Addr    string
	Message Message
}

// Update is one step of the state: the items that changed, or, Whole, all that there are.
type Update struct {
	Version  uint64
	Items    []Item
	Complete bool
}

// SubscriberReady is what is to be done, in this order.
type SubscriberReady struct {
	Updates []Update
	Sends   []SubscriberSend
	Close   []string // these connections, or dials, end after what was sent; nothing more is told of them
	Dial    []string // each ends in Opened, Failed or, by this side, Hang
	Events  []Event
}

// SubscriberStats counts what a follower did.
type SubscriberStats struct {
	Changes, Snapshots  uint64 // taken
	Duplicates          uint64 // that were known already, from the other relay or older
	Gaps                uint64
	DigestMismatches    uint64
	Conflicts           uint64
	InvalidMessages     uint64
	LeaseExpiries       uint64 // times that knowledge was no longer current
	SyncRequests        uint64
	Dials, DialFailures uint64
	Rejections          uint64
}

// Subscriber is one balancer's side of the feed. It is one goroutine's.
//
// A beat and a message cost the same whatever the size of the fleet, but for the relays' list, which is gone through.
type Subscriber struct {
	cfg   SubscriberConfig
	rng   *rand.Rand
	now   time.Duration
	state *State

	asOf   time.Duration                              // at that time nothing newer was agreed than what is here
	known  bool                                       // it was ever heard
	stands bool                                       // it is told that it is not current
	past   [pastKept]struct{ version, digest uint64 } // of the newest versions before, by version

	upstreams map[string]*upstream // by address
	use       []*upstream          // those that are dialed or open, in that order of theirs; three at most
	ranked    []*upstream          // those that are listed, the best first
	listed    map[string]shardmap.Member
	mismatch  bool
	returnAt  time.Duration // 0: no better one is waited for
	hastens   bool          // it was set as one in use does badly
	dialAt    time.Duration // not before, where no relay is left
	seeks     int           // times in a row that another one was looked for, as one in use does badly
	stoodAt   time.Duration

	ready SubscriberReady
	Stats SubscriberStats
}

type upstreamState uint8

const (
	idle upstreamState = iota
	dialing
	open
)

// upstream is what a follower knows of one relay, by its address.
type upstream struct {
	addr       string
	id         string
	zone, site string
	score      uint64
	listed     bool
	seed       bool // it was dialed as a seed, its zone unknown, and is not one of those wanted since

	state    upstreamState
	began    time.Duration // dialing, or open
	heard    time.Duration // the newest message, or bytes of one
	answered time.Duration // the newest Renewed
	midway   bool          // bytes have come since the newest message
	proved   bool          // it has answered, with an age within the lease
	synced   bool          // it had nothing newer than what is here, once
	parked   bool
	number   uint64
	read     uint64
	asks     []ask
	claims   []asOf
	renewAt  time.Duration
	wants    bool   // a Want is out,
	wanted   uint64 // and answers up to this number say nothing of what came of it
	wantedAt uint64 // of this version
	whole    bool
	unacked  int

	fails    int
	failedAt time.Duration
	failed   bool
	pass     time.Duration // passed over until then
	told     bool          // by its own word
}

type ask struct {
	number uint64
	at     time.Duration
}

// NewSubscriber begins knowing nothing, with its seeds.
func NewSubscriber(cfg SubscriberConfig, now time.Duration) *Subscriber {
	if cfg.Lease <= 0 {
		cfg.Lease = DefaultLease
	}
	f := &Subscriber{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0xf0110)), now: now, state: NewState(), upstreams: map[string]*upstream{},
		listed: map[string]shardmap.Member{}, stands: true, stoodAt: now, dialAt: now}
	f.rank()
	return f
}

// State is the newest that is known, not to be changed.
func (f *Subscriber) State() *State { return f.state }

// Age is how long ago nothing newer was agreed than what is here, for as much as is known; false where nothing was ever heard.
func (f *Subscriber) Age(now time.Duration) (time.Duration, bool) { return now - f.asOf, f.known }

// IsCurrent tells whether what is here may be taken for all there is, by the clock as it is now: it is read anew for each use.
func (f *Subscriber) IsCurrent(now time.Duration) bool {
	return f.known && now-f.asOf <= f.cfg.Lease
}

// Publishers are the addresses of those that are followed, in the order in which they were opened.
func (f *Subscriber) Publishers() []string {
	var all []string
	for _, w := range f.use {
		if w.state == open {
			all = append(all, w.addr)
		}
	}
	return all
}

// Ready hands out what is to be done, once.
func (f *Subscriber) Ready() SubscriberReady {
	out := f.ready
	f.ready = SubscriberReady{}
	return out
}

// ---- What comes in.

// Tick is a beat, some ten of them a second. A time that is taken for the one of a question must not be later than when it goes
// out: the time of the newest Clock is.
func (f *Subscriber) Tick(now time.Duration) {
	gap := now - f.now
	f.now = max(f.now, now)
	use := slices.Clone(f.use)
	if gap > stallFrom { // what the relays said meanwhile lies in buffers: their silence is this process's own
		f.line(Event{Kind: EventResumed, Duration: gap})
		for _, w := range use {
			w.heard, w.answered, w.renewAt = f.now, f.now, f.now
			if w.state == dialing {
				w.began = f.now
			}
		}
	}
	for _, w := range use {
		if why := f.dead(w); why != "" {
			f.leave(w, why)
			continue
		}
		if w.state == open && w.renewAt <= f.now {
			f.renew(w)
		}
		if w.state == open && w.parked && f.now-w.began > f.cfg.Lease { // the other one is slow
			f.want(w, false)
		}
	}
	f.settle()
	f.decide()
}

// dead tells why a relay is to be left, empty where it is not.
func (f *Subscriber) dead(w *upstream) string {
	half := f.cfg.Lease / 2
	switch {
	case w.state == dialing && f.now-w.began >= f.cfg.Lease/5:
		return "it does not answer"
	case w.state != open:
	case f.now-w.heard >= half:
		return fmt.Sprintf("silent for %v", f.now-w.heard)
	case f.now-w.answered >= half && !w.midway:
		return fmt.Sprintf("no answer for %v", f.now-w.answered)
	case f.now-w.answered >= snapshotIn:
		return fmt.Sprintf("no answer for %v", f.now-w.answered)
	}
	return ""
}

// Connected tells that a dial has come through.
func (f *Subscriber) Connected(addr string) {
	w := f.upstreams[addr]
	if w == nil || w.state != dialing {
		f.ready.Close = append(f.ready.Close, addr)
		return
	}
	w.state, w.began, w.heard, w.answered = open, f.now, f.now, f.now
	w.midway, w.proved, w.synced, w.parked, w.wants, w.number, w.read, w.wanted, w.unacked = false, false, false, false, false, 0, 0, 0, 0
	for _, o := range f.use {
		if o != w && o.state == open && !o.synced && !o.parked {
			w.parked = true
		}
	}
	f.send(w, Message{Hello: &Hello{Fleet: cmp.Or(f.state.Fleet(), f.cfg.Fleet), ProtocolVersion: ProtocolVersion, ID: f.cfg.ID, Name: f.cfg.Name, Incarnation: f.cfg.Incarnation, Machine: f.cfg.Machine,
		Zone: f.cfg.Zone, Site: f.cfg.Site, Version: f.state.Version(), Digest: f.state.Digest(), Standby: w.parked}})
	f.line(Event{Kind: EventSubscribed, PeerID: w.id, Addr: addr})
	f.renew(w)
}

// DialFailed tells that a dial has not come through.
func (f *Subscriber) DialFailed(addr string) {
	if w := f.upstreams[addr]; w != nil && w.state == dialing {
		f.Stats.DialFailures++
		f.over(w)
		f.decide()
	}
}

// ConnectionClosed tells that a connection has ended, not by this side.
func (f *Subscriber) ConnectionClosed(addr string) {
	if w := f.upstreams[addr]; w != nil && w.state == open {
		f.line(Event{Kind: EventUnsubscribed, Addr: addr, Detail: "its connection has ended"})
		f.over(w)
		f.decide()
	}
}

// Progress tells that bytes of a message have come that is not whole yet: a relay is not silent that sends a large one slowly.
func (f *Subscriber) Progress(addr string) {
	if w := f.upstreams[addr]; w != nil && w.state == open {
		w.heard, w.midway = f.now, true
	}
}

// Disconnect says goodbye to all relays: this process ends.
func (f *Subscriber) Disconnect() {
	for _, w := range f.use {
		if w.state == open {
			f.send(w, Message{Disconnect: &Disconnect{}})
		}
	}
}

// Step takes a message. An error tells what was wrong with it; what follows from it is done already.
func (f *Subscriber) Step(addr string, m Message) error {
	w := f.upstreams[addr]
	if w == nil || w.state != open {
		return nil // hung up meanwhile
	}
	w.heard, w.midway = f.now, false
	switch {
	case m.Change != nil:
		return f.change(w, m.Change)
	case m.Snapshot != nil:
		return f.snapshot(w, m.Snapshot)
	case m.RenewResponse != nil:
		return f.renewed(w, m.RenewResponse)
	case m.Reject != nil:
		f.Stats.Rejections++
		f.leave(w, "sent elsewhere: "+m.Reject.Reason)
		w.fails, w.failed, w.told = 0, false, true
		w.pass = f.now + min(max(m.Reject.RetryAfter, elsewhereMin), elsewhereMax)
		f.decide()
	case m.Operation != nil, m.OperationResult != nil, m.PutRequest != nil, m.PutResponse != nil:
	default:
		f.Stats.InvalidMessages++
		err := fmt.Errorf("%w: nothing in it that this process knows", ErrMalformedMessage)
		f.refuse(w, err)
		return err
	}
	return nil
}

// ---- The feed.

func (f *Subscriber) change(w *upstream, c *Change) error {
	err := f.state.Apply(*c)
	if err == nil {
		f.Stats.Changes++
		f.mismatch = false
		w.unacked += c.Size()
		f.took(Update{Version: c.Version, Items: c.Items})
		if w.unacked >= ackEach {
			f.ack(w)
		}
		return nil
	}
	return f.refused(w, c.Version, err)
}

func (f *Subscriber) snapshot(w *upstream, s *Snapshot) error {
	was := f.state.Version()
	if f.cfg.Fleet != "" && s.Fleet != "" && s.Fleet != f.cfg.Fleet {
		return f.refused(w, s.Version, fmt.Errorf("%w: %q, this one is %q", ErrForeignFleet, s.Fleet, f.cfg.Fleet))
	}
	if err := f.state.Install(*s); err != nil {
		return f.refused(w, s.Version, err)
	}
	if f.state.Version() == was {
		f.Stats.Duplicates++
		return nil
	}
	f.Stats.Snapshots++
	f.mismatch = false
	f.took(Update{Version: s.Version, Items: s.Items, Complete: true})
	f.ack(w)
	return nil
}

// refused does what follows from a change or snapshot that is not taken.
func (f *Subscriber) refused(w *upstream, version uint64, err error) error {
	switch {
	case errors.Is(err, ErrOutOfOrder) && version <= f.state.Version():
		f.Stats.Duplicates++
		return nil
	case errors.Is(err, ErrOutOfOrder):
		f.Stats.Gaps++
		f.want(w, false)
	case errors.Is(err, ErrDigestMismatch):
		f.Stats.DigestMismatches++
		if !f.mismatch {
			f.mismatch = true
			f.line(Event{Kind: EventDigestMismatch, Addr: w.addr, Version: f.state.Version(), Detail: err.Error()})
		}
		f.want(w, true)
	case errors.Is(err, ErrConflict):
		f.conflict(w, err)
	default:
		f.Stats.InvalidMessages++
		f.refuse(w, err)
	}
	return err
}

// conflict leaves a relay that has another history.
func (f *Subscriber) conflict(w *upstream, err error) {
	f.Stats.Conflicts++
	f.line(Event{Kind: EventHistoryConflict, PeerID: w.id, Addr: w.addr, Version: f.state.Version(), Detail: err.Error()})
	f.leave(w, "it has another history")
	w.pass = f.now + f.about(oddFor)
	f.decide()
}

// refuse leaves a relay that sends what can't be taken.
func (f *Subscriber) refuse(w *upstream, err error) {
	kind := EventMessageRejected
	if errors.Is(err, ErrForeignFleet) {
		kind = EventForeignFleet
	}
	f.line(Event{Kind: kind, PeerID: w.id, Addr: w.addr, Detail: err.Error()})
	f.leave(w, "what it sends can't be taken")
	w.pass = f.now + f.about(oddFor)
	f.decide()
}

// took notes what was applied, and what is known by it.
func (f *Subscriber) took(a Update) {
	f.ready.Updates = append(f.ready.Updates, a)
	p := &f.past[a.Version%pastKept]
	p.version, p.digest = a.Version, f.state.Digest()
	ranks := a.Complete
	for _, i := range a.Items {
		ranks = ranks || strings.HasPrefix(i.Key, MemberPrefix)
	}
	if ranks {
		f.relist(a)
	}
	for _, w := range f.use {
		f.claim(w)
	}
	f.settle()
}

// renewed takes a relay's answer: what it knew as of the time of the question, less the age that it says, is true for this
// follower once it has that version.
func (f *Subscriber) renewed(w *upstream, r *RenewResponse) error {
	i := slices.IndexFunc(w.asks, func(a ask) bool { return a.number == r.Sequence })
	if i < 0 {
		return nil // never asked, answered before, or given up
	}
	at := w.asks[i].at
	w.asks = slices.Delete(w.asks, 0, i+1)
	w.answered, w.read = f.now, max(w.read, r.Sequence)
	v := f.state.Version()
	if p := f.past[r.Version%pastKept]; p.version == r.Version && p.digest != r.Digest {
		err := fmt.Errorf("%w: version %d with digest %016x, here %016x", ErrConflict, r.Version, r.Digest, p.digest)
		f.conflict(w, err)
		return err
	}
	if !r.AgeKnown || r.Age > f.cfg.Lease || r.Age < 0 {
		if w.pass <= f.now { // it stays until another one does better
			f.fail(w)
		}
	} else {
		w.proved, w.pass = true, 0
		if f.now-w.began >= soundAfter {
			w.fails, w.failed = 0, false
		}
		if len(w.claims) < claimsKept {
			w.claims = append(w.claims, asOf{at: at - r.Age, version: r.Version, digest: r.Digest})
		}
	}
	f.claim(w)
	if r.Version <= v {
		f.sync(w)
	}
	w.wants = w.wants && r.Sequence <= w.wanted
	if (r.SentVersion > v || r.Standby) && !w.wants && !w.parked { // what was sent, or the last Want, has not come through
		f.Stats.Gaps++
		f.want(w, f.mismatch)
	}
	f.settle()
	f.decide()
	return nil
}

// claim takes over what a relay has said, as far as its version has come.
func (f *Subscriber) claim(w *upstream) {
	w.claims = slices.DeleteFunc(w.claims, func(c asOf) bool {
		if c.version > f.state.Version() {
			return f.now-c.at > f.cfg.Lease
		}
		if !f.known || c.at > f.asOf {
			f.known, f.asOf = true, c.at
		}
		return true
	})
}

// sync notes that a relay has nothing newer; those that were told to wait for that go on from here.
func (f *Subscriber) sync(w *upstream) {
	if w.synced {
		return
	}
	w.synced = true
	for _, o := range f.use {
		if o.state == open && o.parked {
			f.want(o, false)
		}
	}
}

func (f *Subscriber) want(w *upstream, whole bool) {
	if w.wants && w.wantedAt == f.state.Version() && (w.whole || !whole) {
		return
	}
	f.Stats.SyncRequests++
	w.wants, w.parked, w.wanted, w.wantedAt, w.whole, w.unacked = true, false, w.number, f.state.Version(), whole, 0
	f.send(w, Message{SyncRequest: &SyncRequest{LastResponse: w.read, Version: f.state.Version(), Digest: f.state.Digest(), ForceSnapshot: whole}})
}

func (f *Subscriber) ack(w *upstream) {
	w.unacked = 0
	f.send(w, Message{Ack: &Ack{Version: f.state.Version(), Digest: f.state.Digest()}})
}

func (f *Subscriber) renew(w *upstream) {
	w.number++
	w.renewAt = f.now + RenewInterval*3/4 + time.Duration(f.rng.Float64()*float64(RenewInterval)/2)
	if len(w.asks) >= asksMost {
		w.asks = slices.Delete(w.asks, 0, 1)
	}
	w.asks = append(w.asks, ask{w.number, f.now})
	w.unacked = 0
	f.send(w, Message{RenewRequest: &RenewRequest{Sequence: w.number, LastResponse: w.read, Version: f.state.Version(), Digest: f.state.Digest()}})
}

// settle tells once when knowledge is no longer current, and when it is again.
func (f *Subscriber) settle() {
	if current := f.IsCurrent(f.now); current == f.stands {
		f.stands = !current
		if current {
			f.line(Event{Kind: EventCurrent, Version: f.state.Version(), Duration: f.now - f.stoodAt})
		} else {
			f.stoodAt = f.now
			f.Stats.LeaseExpiries++
			f.line(Event{Kind: EventStale, Version: f.state.Version(), Duration: f.now - f.asOf})
		}
	}
}

// ---- Whom to follow.

// relist takes the relays from the items that name them.
func (f *Subscriber) relist(a Update) {
	if a.Complete {
		clear(f.listed)
	}
	for _, i := range a.Items {
		id, is := strings.CutPrefix(i.Key, MemberPrefix)
		if !is {
			continue
		}
		delete(f.listed, id)
		var m shardmap.Member
		if i.Deleted {
			continue
		}
		if err := json.Unmarshal(i.Value, &m); err != nil || m.ID != id || m.Addr == "" {
			f.line(Event{Kind: EventMessageRejected, Addr: i.Key, Detail: "it names no relay"})
			continue
		}
		f.listed[id] = m
	}
	f.rank()
}

// rank sorts the relays for this follower: those of its own site first, then by hash; seeds that are none of those last.
func (f *Subscriber) rank() {
	for _, w := range f.upstreams {
		w.listed = false
	}
	ids := make([]string, 0, len(f.listed))
	for id := range f.listed {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(-cmp.Compare(score(f.cfg.ID, a), score(f.cfg.ID, b)), cmp.Compare(a, b))
	})
	f.ranked = f.ranked[:0]
	add := func(m shardmap.Member, key string) {
		w := f.upstreams[m.Addr]
		if w == nil {
			w = &upstream{addr: m.Addr}
			f.upstreams[m.Addr] = w
		}
		if w.listed || len(f.ranked) >= listMost {
			return
		}
		w.listed, w.id, w.zone, w.site, w.score = true, m.ID, m.Zone, m.Site, score(f.cfg.ID, key)
		f.ranked = append(f.ranked, w)
	}
	for _, id := range ids {
		add(f.listed[id], id)
	}
	for _, s := range f.cfg.Seeds {
		add(shardmap.Member{Addr: s}, s)
	}
	slices.SortStableFunc(f.ranked, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(f.tier(a), f.tier(b)), -cmp.Compare(a.score, b.score), cmp.Compare(a.addr, b.addr))
	})
	for addr, w := range f.upstreams {
		if !w.listed && w.state == idle {
			delete(f.upstreams, addr)
		}
	}
}

func (f *Subscriber) tier(w *upstream) int {
	switch {
	case w.id == "":
		return 2
	case w.site != f.cfg.Site:
		return 1
	}
	return 0
}

// failedSite is a site where a relay failed of late, and in which zone, or in more than one.
type failedSite struct {
	site, zone string
	more       bool
}

// choose is whom to follow now: the best ranked that is not passed over, and the next of another zone; where there is no other
// zone, the next.
func (f *Subscriber) choose(alone bool) []*upstream {
	var sites []failedSite
	for _, w := range f.ranked {
		if !w.failed || f.now-w.failedAt > suspectFor || w.id == "" {
			continue
		}
		i := slices.IndexFunc(sites, func(s failedSite) bool { return s.site == w.site })
		if i >= 0 {
			sites[i].more = sites[i].more || sites[i].zone != w.zone
		} else if len(sites) < sitesMost {
			sites = append(sites, failedSite{site: w.site, zone: w.zone})
		}
	}
	suspect := func(w *upstream) bool {
		return w.id != "" && slices.ContainsFunc(sites, func(s failedSite) bool { return s.more && s.site == w.site })
	}
	var picked []*upstream
	for _, further := range []bool{true, false} {
		for _, late := range []bool{false, true} {
			for _, w := range f.ranked {
				if len(picked) == relaysWanted {
					return picked
				}
				if suspect(w) != late || !f.may(w, alone) || slices.Contains(picked, w) {
					continue
				}
				if further && len(picked) == 1 && w.id != "" && w.zone == picked[0].zone && w.site == picked[0].site {
					continue
				}
				picked = append(picked, w)
			}
		}
	}
	return picked
}

// may tells whether a relay is not passed over.
func (f *Subscriber) may(w *upstream, alone bool) bool {
	if !alone || !w.told && !w.failed {
		return f.now >= w.pass
	}
	back := backAlone
	if w.told { // nobody is left, whatever it said: all may have ended, or found no room, at once
		back = toldAlone
	}
	return f.now >= min(w.pass, w.failedAt+back/2+time.Duration(w.score%uint64(back)))
}

// decide dials and hangs up as it follows from whom to follow.
func (f *Subscriber) decide() {
	opened, bad, pending := 0, false, false
	for _, w := range f.use {
		if w.state == open {
			opened++
		}
		bad = bad || w.pass > f.now
		pending = pending || w.state == dialing || !w.proved && w.pass <= f.now
	}
	wanted := f.choose(opened == 0)
	for _, w := range wanted {
		w.seed = false
	}
	seeded := slices.ContainsFunc(f.use, func(w *upstream) bool { return w.seed })
	if len(f.use) > relaysWanted {
		if !pending {
			f.spare(wanted)
		}
		return
	}
	for _, w := range wanted {
		if w.state != idle {
			continue
		}
		if len(f.use) < relaysWanted {
			if opened == 0 && (w.failed || w.told) {
				if f.now < f.dialAt {
					return
				}
				f.dialAt = f.now + f.about(dialAlone)
			}
			f.dial(w)
			continue
		}
		f.instead(w, bad, pending, seeded)
		return
	}
	f.returnAt = 0
	if !bad && !pending {
		f.seeks = 0
	}
}

// instead has a better one take another's place, after a pause by chance, one at a time: soon where one in use does badly, but
// not sooner each time when none is found that does better.
func (f *Subscriber) instead(w *upstream, bad, pending, seeded bool) {
	switch {
	case pending:
	case f.returnAt != 0 && f.now >= f.returnAt:
		f.returnAt = 0
		if bad {
			f.seeks++
		}
		f.dial(w)
	case bad && !f.hastens:
		f.returnAt, f.hastens = f.now+f.about(min(backFirst<<min(f.seeks, 10), backMost)), true
		return
	case f.returnAt != 0:
		return
	case seeded:
		f.returnAt = f.now + f.about(seededFrom)
	default:
		f.returnAt = f.now + returnFrom + time.Duration(f.rng.Float64()*float64(2*returnFrom))
	}
	f.hastens = false
}

// spare hangs up the one too many.
func (f *Subscriber) spare(wanted []*upstream) {
	worth := func(w *upstream) int {
		n := 0
		if w.proved && w.pass <= f.now {
			n += 4
		}
		if slices.Contains(wanted, w) {
			n += 2
		}
		if w.listed {
			n++
		}
		return n
	}
	worst := f.use[0]
	for _, w := range f.use[1:] {
		if worth(w) < worth(worst) || worth(w) == worth(worst) && w.pass > f.now {
			worst = w
		}
	}
	f.line(Event{Kind: EventUnsubscribed, Addr: worst.addr, Detail: "a better ranked one is there"})
	if worst.state == open {
		f.send(worst, Message{Disconnect: &Disconnect{}})
	}
	f.hang(worst)
}

func (f *Subscriber) dial(w *upstream) {
	f.Stats.Dials++
	w.state, w.began, w.told, w.seed, w.proved, w.pass = dialing, f.now, false, w.id == "", false, 0
	f.use = append(f.use, w)
	f.ready.Dial = append(f.ready.Dial, w.addr)
}

// leave hangs up on a relay and passes it over.
func (f *Subscriber) leave(w *upstream, why string) {
	f.line(Event{Kind: EventUnsubscribed, Addr: w.addr, Detail: why})
	f.fail(w)
	f.hang(w)
}

// over is the end of a connection that others ended.
func (f *Subscriber) over(w *upstream) {
	f.fail(w)
	f.closed(w)
}

func (f *Subscriber) hang(w *upstream) {
	f.ready.Close = append(f.ready.Close, w.addr)
	f.closed(w)
}

func (f *Subscriber) closed(w *upstream) {
	feeding := w.state == open && !w.parked && !w.synced
	w.state, w.asks, w.claims, w.proved = idle, nil, nil, false
	f.use = slices.DeleteFunc(f.use, func(o *upstream) bool { return o == w })
	if !w.listed {
		delete(f.upstreams, w.addr)
	}
	if !feeding {
		return
	}
	for _, o := range f.use { // somebody else brings this follower up to date
		if o.state == open && o.parked {
			f.want(o, false)
			return
		}
	}
}

// fail passes a relay over for a while that doubles.
func (f *Subscriber) fail(w *upstream) {
	w.failed, w.failedAt = true, f.now
	w.pass = max(w.pass, f.now+f.about(min(backFirst<<min(w.fails, 10), backMost)))
	w.fails++
}

// about draws a span near one, so that those that began together do not go on together.
func (f *Subscriber) about(d time.Duration) time.Duration {
	return d/2 + time.Duration(f.rng.Float64()*float64(d))
}

func (f *Subscriber) send(w *upstream, m Message) {
	f.ready.Sends = append(f.ready.Sends, SubscriberSend{w.addr, m})
}

func (f *Subscriber) line(l Event) {
	if len(f.ready.Events) < linesMost {
		f.ready.Events = append(f.ready.Events, l)
	}
}
