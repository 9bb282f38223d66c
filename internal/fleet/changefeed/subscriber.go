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
	targetPublishers           = 2
	relaysMost                 = 3    // connections at once, while one takes another's place
	maxCandidates              = 4096 // relays that are known, seeds among them; further ones are not looked at
	maxPendingRenewals         = 8    // renewals whose answers are waited for; the oldest is forgotten first
	maxConnectionConfirmations = 4    // answers for versions that are still to come, for each relay
	ackThresholdBytes          = 64 << 10
	initialBackoff             = time.Second // a relay that failed is passed over for so long, twice as long each time that it fails again,
	maxBackoff                 = 30 * time.Second
	isolatedBackoff            = 1500 * time.Millisecond // but so long where no relay is left, all by chance from a half to one and a half
	isolatedRejectBackoff      = 4 * time.Second         // the same of one that sent this follower elsewhere
	isolatedDialInterval       = 200 * time.Millisecond  // between two dials then
	failureResetAfter          = 10 * time.Second        // a relay that served so long has failed no time before
	minReplaceDelay            = 20 * time.Second        // until a better ranked relay takes a worse one's place, by chance up to twice as long more
	seedReplaceDelay           = 2 * time.Second         // the same where the worse one was found by a seed
	invalidPublisherBackoff    = time.Minute             // a relay of another history, or another fleet, is passed over
	minRetryAfter              = time.Second
	maxRetryAfter              = 5 * time.Minute
	siteFailureWindow          = 10 * time.Second // a site where relays of two zones failed within it comes after the others
	maxFailedSites             = 16
	recentDigestCount          = 64          // versions whose digest is remembered, to know a relay of another history that lags
	transferTimeout            = time.Minute // one message may take so long while bytes of it come
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
	config SubscriberConfig
	rng    *rand.Rand
	now    time.Duration
	state  *State

	confirmedAt   time.Duration                                       // at that time nothing newer was agreed than what is here
	confirmed     bool                                                // it was ever heard
	stale         bool                                                // it is told that it is not current
	recentDigests [recentDigestCount]struct{ version, digest uint64 } // of the newest versions before, by version

	candidates      map[string]*candidate // by address
	active          []*candidate          // those that are dialed or open, in that order of theirs; three at most
	ranked          []*candidate          // those that are listed, the best first
	members         map[string]shardmap.Member
	digestMismatch  bool
	replaceAt       time.Duration // 0: no better one is waited for
	replaceSoon     bool          // it was set as one in use does badly
	nextDialAt      time.Duration // not before, where no relay is left
	replaceAttempts int           // times in a row that another one was looked for, as one in use does badly
	staleSince      time.Duration

	ready SubscriberReady
	Stats SubscriberStats
}

type connectionState uint8

const (
	stateIdle connectionState = iota
	stateDialing
	stateOpen
)

// candidate is what a follower knows of one relay, by its address.
type candidate struct {
	address      string
	id           string
	zone, site   string
	score        uint64
	isListed     bool
	dialedAsSeed bool // it was dialed as a seed, its zone unknown, and is not one of those wanted since

	state                connectionState
	stateSince           time.Duration // dialing, or open
	lastReceived         time.Duration // the newest message, or bytes of one
	lastAnswered         time.Duration // the newest Renewed
	receiving            bool          // bytes have come since the newest message
	healthy              bool          // it has answered, with an age within the lease
	synced               bool          // it had nothing newer than what is here, once
	standby              bool
	lastSequence         uint64
	lastResponse         uint64
	pendingRenewals      []pendingRenewal
	pendingConfirmations []confirmation
	nextRenewAt          time.Duration
	syncPending          bool   // a Want is out,
	syncSequence         uint64 // and answers up to this number say nothing of what came of it
	syncVersion          uint64 // of this version
	syncSnapshot         bool
	unackedBytes         int

	failures   int
	failedAt   time.Duration
	hasFailed  bool
	avoidUntil time.Duration // passed over until then
	rejected   bool          // by its own word
}

type pendingRenewal struct {
	sequence uint64
	sentAt   time.Duration
}

// NewSubscriber begins knowing nothing, with its seeds.
func NewSubscriber(cfg SubscriberConfig, now time.Duration) *Subscriber {
	if cfg.Lease <= 0 {
		cfg.Lease = DefaultLease
	}
	f := &Subscriber{config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0xf0110)), now: now, state: NewState(), candidates: map[string]*candidate{},
		members: map[string]shardmap.Member{}, stale: true, staleSince: now, nextDialAt: now}
	f.rankCandidates()
	return f
}

// State is the newest that is known, not to be changed.
func (f *Subscriber) State() *State { return f.state }

// Age is how long ago nothing newer was agreed than what is here, for as much as is known; false where nothing was ever heard.
func (f *Subscriber) Age(now time.Duration) (time.Duration, bool) {
	return now - f.confirmedAt, f.confirmed
}

// IsCurrent tells whether what is here may be taken for all there is, by the clock as it is now: it is read anew for each use.
func (f *Subscriber) IsCurrent(now time.Duration) bool {
	return f.confirmed && now-f.confirmedAt <= f.config.Lease
}

// Publishers are the addresses of those that are followed, in the order in which they were opened.
func (f *Subscriber) Publishers() []string {
	var all []string
	for _, w := range f.active {
		if w.state == stateOpen {
			all = append(all, w.address)
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
	use := slices.Clone(f.active)
	if gap > pauseThreshold { // what the relays said meanwhile lies in buffers: their silence is this process's own
		f.emit(Event{Kind: EventResumed, Duration: gap})
		for _, w := range use {
			w.lastReceived, w.lastAnswered, w.nextRenewAt = f.now, f.now, f.now
			if w.state == stateDialing {
				w.stateSince = f.now
			}
		}
	}
	for _, w := range use {
		if why := f.timeoutReason(w); why != "" {
			f.dropFailed(w, why)
			continue
		}
		if w.state == stateOpen && w.nextRenewAt <= f.now {
			f.sendRenewal(w)
		}
		if w.state == stateOpen && w.standby && f.now-w.stateSince > f.config.Lease { // the other one is slow
			f.requestSync(w, false)
		}
	}
	f.updateStaleness()
	f.reconcile()
}

// timeoutReason tells why a relay is to be left, empty where it is not.
func (f *Subscriber) timeoutReason(w *candidate) string {
	half := f.config.Lease / 2
	switch {
	case w.state == stateDialing && f.now-w.stateSince >= f.config.Lease/5:
		return "it does not answer"
	case w.state != stateOpen:
	case f.now-w.lastReceived >= half:
		return fmt.Sprintf("silent for %v", f.now-w.lastReceived)
	case f.now-w.lastAnswered >= half && !w.receiving:
		return fmt.Sprintf("no answer for %v", f.now-w.lastAnswered)
	case f.now-w.lastAnswered >= transferTimeout:
		return fmt.Sprintf("no answer for %v", f.now-w.lastAnswered)
	}
	return ""
}

// Connected tells that a dial has come through.
func (f *Subscriber) Connected(addr string) {
	w := f.candidates[addr]
	if w == nil || w.state != stateDialing {
		f.ready.Close = append(f.ready.Close, addr)
		return
	}
	w.state, w.stateSince, w.lastReceived, w.lastAnswered = stateOpen, f.now, f.now, f.now
	w.receiving, w.healthy, w.synced, w.standby, w.syncPending, w.lastSequence, w.lastResponse, w.syncSequence, w.unackedBytes = false, false, false, false, false, 0, 0, 0, 0
	for _, o := range f.active {
		if o != w && o.state == stateOpen && !o.synced && !o.standby {
			w.standby = true
		}
	}
	f.send(w, Message{Hello: &Hello{Fleet: cmp.Or(f.state.Fleet(), f.config.Fleet), ProtocolVersion: ProtocolVersion, ID: f.config.ID, Name: f.config.Name, Incarnation: f.config.Incarnation, Machine: f.config.Machine,
		Zone: f.config.Zone, Site: f.config.Site, Version: f.state.Version(), Digest: f.state.Digest(), Standby: w.standby}})
	f.emit(Event{Kind: EventSubscribed, PeerID: w.id, Addr: addr})
	f.sendRenewal(w)
}

// DialFailed tells that a dial has not come through.
func (f *Subscriber) DialFailed(addr string) {
	if w := f.candidates[addr]; w != nil && w.state == stateDialing {
		f.Stats.DialFailures++
		f.connectionLost(w)
		f.reconcile()
	}
}

// ConnectionClosed tells that a connection has ended, not by this side.
func (f *Subscriber) ConnectionClosed(addr string) {
	if w := f.candidates[addr]; w != nil && w.state == stateOpen {
		f.emit(Event{Kind: EventUnsubscribed, Addr: addr, Detail: "its connection has ended"})
		f.connectionLost(w)
		f.reconcile()
	}
}

// Progress tells that bytes of a message have come that is not whole yet: a relay is not silent that sends a large one slowly.
func (f *Subscriber) Progress(addr string) {
	if w := f.candidates[addr]; w != nil && w.state == stateOpen {
		w.lastReceived, w.receiving = f.now, true
	}
}

// Disconnect says goodbye to all relays: this process ends.
func (f *Subscriber) Disconnect() {
	for _, w := range f.active {
		if w.state == stateOpen {
			f.send(w, Message{Disconnect: &Disconnect{}})
		}
	}
}

// Step takes a message. An error tells what was wrong with it; what follows from it is done already.
func (f *Subscriber) Step(addr string, m Message) error {
	w := f.candidates[addr]
	if w == nil || w.state != stateOpen {
		return nil // hung up meanwhile
	}
	w.lastReceived, w.receiving = f.now, false
	switch {
	case m.Change != nil:
		return f.handleChange(w, m.Change)
	case m.Snapshot != nil:
		return f.handleSnapshot(w, m.Snapshot)
	case m.RenewResponse != nil:
		return f.handleRenewResponse(w, m.RenewResponse)
	case m.Reject != nil:
		f.Stats.Rejections++
		f.dropFailed(w, "sent elsewhere: "+m.Reject.Reason)
		w.failures, w.hasFailed, w.rejected = 0, false, true
		w.avoidUntil = f.now + min(max(m.Reject.RetryAfter, minRetryAfter), maxRetryAfter)
		f.reconcile()
	case m.Operation != nil, m.OperationResult != nil, m.PutRequest != nil, m.PutResponse != nil:
	default:
		f.Stats.InvalidMessages++
		err := fmt.Errorf("%w: nothing in it that this process knows", ErrMalformedMessage)
		f.dropInvalid(w, err)
		return err
	}
	return nil
}

// ---- The feed.

func (f *Subscriber) handleChange(w *candidate, c *Change) error {
	err := f.state.Apply(*c)
	if err == nil {
		f.Stats.Changes++
		f.digestMismatch = false
		w.unackedBytes += c.Size()
		f.recordUpdate(Update{Version: c.Version, Items: c.Items})
		if w.unackedBytes >= ackThresholdBytes {
			f.acknowledge(w)
		}
		return nil
	}
	return f.handleApplyError(w, c.Version, err)
}

func (f *Subscriber) handleSnapshot(w *candidate, s *Snapshot) error {
	was := f.state.Version()
	if f.config.Fleet != "" && s.Fleet != "" && s.Fleet != f.config.Fleet {
		return f.handleApplyError(w, s.Version, fmt.Errorf("%w: %q, this one is %q", ErrForeignFleet, s.Fleet, f.config.Fleet))
	}
	if err := f.state.Install(*s); err != nil {
		return f.handleApplyError(w, s.Version, err)
	}
	if f.state.Version() == was {
		f.Stats.Duplicates++
		return nil
	}
	f.Stats.Snapshots++
	f.digestMismatch = false
	f.recordUpdate(Update{Version: s.Version, Items: s.Items, Complete: true})
	f.acknowledge(w)
	return nil
}

// handleApplyError does what follows from a change or snapshot that is not taken.
func (f *Subscriber) handleApplyError(w *candidate, version uint64, err error) error {
	switch {
	case errors.Is(err, ErrOutOfOrder) && version <= f.state.Version():
		f.Stats.Duplicates++
		return nil
	case errors.Is(err, ErrOutOfOrder):
		f.Stats.Gaps++
		f.requestSync(w, false)
	case errors.Is(err, ErrDigestMismatch):
		f.Stats.DigestMismatches++
		if !f.digestMismatch {
			f.digestMismatch = true
			f.emit(Event{Kind: EventDigestMismatch, Addr: w.address, Version: f.state.Version(), Detail: err.Error()})
		}
		f.requestSync(w, true)
	case errors.Is(err, ErrConflict):
		f.dropConflicting(w, err)
	default:
		f.Stats.InvalidMessages++
		f.dropInvalid(w, err)
	}
	return err
}

// dropConflicting leaves a relay that has another history.
func (f *Subscriber) dropConflicting(w *candidate, err error) {
	f.Stats.Conflicts++
	f.emit(Event{Kind: EventHistoryConflict, PeerID: w.id, Addr: w.address, Version: f.state.Version(), Detail: err.Error()})
	f.dropFailed(w, "it has another history")
	w.avoidUntil = f.now + f.jitter(invalidPublisherBackoff)
	f.reconcile()
}

// dropInvalid leaves a relay that sends what can't be taken.
func (f *Subscriber) dropInvalid(w *candidate, err error) {
	kind := EventMessageRejected
	if errors.Is(err, ErrForeignFleet) {
		kind = EventForeignFleet
	}
	f.emit(Event{Kind: kind, PeerID: w.id, Addr: w.address, Detail: err.Error()})
	f.dropFailed(w, "what it sends can't be taken")
	w.avoidUntil = f.now + f.jitter(invalidPublisherBackoff)
	f.reconcile()
}

// recordUpdate notes what was applied, and what is known by it.
func (f *Subscriber) recordUpdate(a Update) {
	f.ready.Updates = append(f.ready.Updates, a)
	p := &f.recentDigests[a.Version%recentDigestCount]
	p.version, p.digest = a.Version, f.state.Digest()
	ranks := a.Complete
	for _, i := range a.Items {
		ranks = ranks || strings.HasPrefix(i.Key, MemberPrefix)
	}
	if ranks {
		f.updateMembers(a)
	}
	for _, w := range f.active {
		f.confirm(w)
	}
	f.updateStaleness()
}

// handleRenewResponse takes a relay's answer: what it knew as of the time of the question, less the age that it says, is true for this
// follower once it has that version.
func (f *Subscriber) handleRenewResponse(w *candidate, r *RenewResponse) error {
	i := slices.IndexFunc(w.pendingRenewals, func(a pendingRenewal) bool { return a.sequence == r.Sequence })
	if i < 0 {
		return nil // never asked, answered before, or given up
	}
	at := w.pendingRenewals[i].sentAt
	w.pendingRenewals = slices.Delete(w.pendingRenewals, 0, i+1)
	w.lastAnswered, w.lastResponse = f.now, max(w.lastResponse, r.Sequence)
	v := f.state.Version()
	if p := f.recentDigests[r.Version%recentDigestCount]; p.version == r.Version && p.digest != r.Digest {
		err := fmt.Errorf("%w: version %d with digest %016x, here %016x", ErrConflict, r.Version, r.Digest, p.digest)
		f.dropConflicting(w, err)
		return err
	}
	if !r.AgeKnown || r.Age > f.config.Lease || r.Age < 0 {
		if w.avoidUntil <= f.now { // it stays until another one does better
			f.recordFailure(w)
		}
	} else {
		w.healthy, w.avoidUntil = true, 0
		if f.now-w.stateSince >= failureResetAfter {
			w.failures, w.hasFailed = 0, false
		}
		if len(w.pendingConfirmations) < maxConnectionConfirmations {
			w.pendingConfirmations = append(w.pendingConfirmations, confirmation{at: at - r.Age, version: r.Version, digest: r.Digest})
		}
	}
	f.confirm(w)
	if r.Version <= v {
		f.markSynced(w)
	}
	w.syncPending = w.syncPending && r.Sequence <= w.syncSequence
	if (r.SentVersion > v || r.Standby) && !w.syncPending && !w.standby { // what was sent, or the last Want, has not come through
		f.Stats.Gaps++
		f.requestSync(w, f.digestMismatch)
	}
	f.updateStaleness()
	f.reconcile()
	return nil
}

// confirm takes over what a relay has said, as far as its version has come.
func (f *Subscriber) confirm(w *candidate) {
	w.pendingConfirmations = slices.DeleteFunc(w.pendingConfirmations, func(c confirmation) bool {
		if c.version > f.state.Version() {
			return f.now-c.at > f.config.Lease
		}
		if !f.confirmed || c.at > f.confirmedAt {
			f.confirmed, f.confirmedAt = true, c.at
		}
		return true
	})
}

// markSynced notes that a relay has nothing newer; those that were told to wait for that go on from here.
func (f *Subscriber) markSynced(w *candidate) {
	if w.synced {
		return
	}
	w.synced = true
	for _, o := range f.active {
		if o.state == stateOpen && o.standby {
			f.requestSync(o, false)
		}
	}
}

func (f *Subscriber) requestSync(w *candidate, whole bool) {
	if w.syncPending && w.syncVersion == f.state.Version() && (w.syncSnapshot || !whole) {
		return
	}
	f.Stats.SyncRequests++
	w.syncPending, w.standby, w.syncSequence, w.syncVersion, w.syncSnapshot, w.unackedBytes = true, false, w.lastSequence, f.state.Version(), whole, 0
	f.send(w, Message{SyncRequest: &SyncRequest{LastResponse: w.lastResponse, Version: f.state.Version(), Digest: f.state.Digest(), ForceSnapshot: whole}})
}

func (f *Subscriber) acknowledge(w *candidate) {
	w.unackedBytes = 0
	f.send(w, Message{Ack: &Ack{Version: f.state.Version(), Digest: f.state.Digest()}})
}

func (f *Subscriber) sendRenewal(w *candidate) {
	w.lastSequence++
	w.nextRenewAt = f.now + RenewInterval*3/4 + time.Duration(f.rng.Float64()*float64(RenewInterval)/2)
	if len(w.pendingRenewals) >= maxPendingRenewals {
		w.pendingRenewals = slices.Delete(w.pendingRenewals, 0, 1)
	}
	w.pendingRenewals = append(w.pendingRenewals, pendingRenewal{w.lastSequence, f.now})
	w.unackedBytes = 0
	f.send(w, Message{RenewRequest: &RenewRequest{Sequence: w.lastSequence, LastResponse: w.lastResponse, Version: f.state.Version(), Digest: f.state.Digest()}})
}

// updateStaleness tells once when knowledge is no longer current, and when it is again.
func (f *Subscriber) updateStaleness() {
	if current := f.IsCurrent(f.now); current == f.stale {
		f.stale = !current
		if current {
			f.emit(Event{Kind: EventCurrent, Version: f.state.Version(), Duration: f.now - f.staleSince})
		} else {
			f.staleSince = f.now
			f.Stats.LeaseExpiries++
			f.emit(Event{Kind: EventStale, Version: f.state.Version(), Duration: f.now - f.confirmedAt})
		}
	}
}

// ---- Whom to follow.

// updateMembers takes the relays from the items that name them.
func (f *Subscriber) updateMembers(a Update) {
	if a.Complete {
		clear(f.members)
	}
	for _, i := range a.Items {
		id, is := strings.CutPrefix(i.Key, MemberPrefix)
		if !is {
			continue
		}
		delete(f.members, id)
		var m shardmap.Member
		if i.Deleted {
			continue
		}
		if err := json.Unmarshal(i.Value, &m); err != nil || m.ID != id || m.Addr == "" {
			f.emit(Event{Kind: EventMessageRejected, Addr: i.Key, Detail: "it names no relay"})
			continue
		}
		f.members[id] = m
	}
	f.rankCandidates()
}

// rankCandidates sorts the relays for this follower: those of its own site first, then by hash; seeds that are none of those last.
func (f *Subscriber) rankCandidates() {
	for _, w := range f.candidates {
		w.isListed = false
	}
	ids := make([]string, 0, len(f.members))
	for id := range f.members {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(-cmp.Compare(rendezvousScore(f.config.ID, a), rendezvousScore(f.config.ID, b)), cmp.Compare(a, b))
	})
	f.ranked = f.ranked[:0]
	add := func(m shardmap.Member, key string) {
		w := f.candidates[m.Addr]
		if w == nil {
			w = &candidate{address: m.Addr}
			f.candidates[m.Addr] = w
		}
		if w.isListed || len(f.ranked) >= maxCandidates {
			return
		}
		w.isListed, w.id, w.zone, w.site, w.score = true, m.ID, m.Zone, m.Site, rendezvousScore(f.config.ID, key)
		f.ranked = append(f.ranked, w)
	}
	for _, id := range ids {
		add(f.members[id], id)
	}
	for _, s := range f.config.Seeds {
		add(shardmap.Member{Addr: s}, s)
	}
	slices.SortStableFunc(f.ranked, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(f.localityTier(a), f.localityTier(b)), -cmp.Compare(a.score, b.score), cmp.Compare(a.address, b.address))
	})
	for addr, w := range f.candidates {
		if !w.isListed && w.state == stateIdle {
			delete(f.candidates, addr)
		}
	}
}

func (f *Subscriber) localityTier(w *candidate) int {
	switch {
	case w.id == "":
		return 2
	case w.site != f.config.Site:
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
func (f *Subscriber) choose(alone bool) []*candidate {
	var sites []failedSite
	for _, w := range f.ranked {
		if !w.hasFailed || f.now-w.failedAt > siteFailureWindow || w.id == "" {
			continue
		}
		i := slices.IndexFunc(sites, func(s failedSite) bool { return s.site == w.site })
		if i >= 0 {
			sites[i].more = sites[i].more || sites[i].zone != w.zone
		} else if len(sites) < maxFailedSites {
			sites = append(sites, failedSite{site: w.site, zone: w.zone})
		}
	}
	suspect := func(w *candidate) bool {
		return w.id != "" && slices.ContainsFunc(sites, func(s failedSite) bool { return s.more && s.site == w.site })
	}
	var picked []*candidate
	for _, further := range []bool{true, false} {
		for _, late := range []bool{false, true} {
			for _, w := range f.ranked {
				if len(picked) == targetPublishers {
					return picked
				}
				if suspect(w) != late || !f.isEligible(w, alone) || slices.Contains(picked, w) {
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

// isEligible tells whether a relay is not passed over.
func (f *Subscriber) isEligible(w *candidate, alone bool) bool {
	if !alone || !w.rejected && !w.hasFailed {
		return f.now >= w.avoidUntil
	}
	back := isolatedBackoff
	if w.rejected { // nobody is left, whatever it said: all may have ended, or found no room, at once
		back = isolatedRejectBackoff
	}
	return f.now >= min(w.avoidUntil, w.failedAt+back/2+time.Duration(w.score%uint64(back)))
}

// reconcile dials and hangs up as it follows from whom to follow.
func (f *Subscriber) reconcile() {
	opened, bad, pending := 0, false, false
	for _, w := range f.active {
		if w.state == stateOpen {
			opened++
		}
		bad = bad || w.avoidUntil > f.now
		pending = pending || w.state == stateDialing || !w.healthy && w.avoidUntil <= f.now
	}
	wanted := f.choose(opened == 0)
	for _, w := range wanted {
		w.dialedAsSeed = false
	}
	seeded := slices.ContainsFunc(f.active, func(w *candidate) bool { return w.dialedAsSeed })
	if len(f.active) > targetPublishers {
		if !pending {
			f.dropWorst(wanted)
		}
		return
	}
	for _, w := range wanted {
		if w.state != stateIdle {
			continue
		}
		if len(f.active) < targetPublishers {
			if opened == 0 && (w.hasFailed || w.rejected) {
				if f.now < f.nextDialAt {
					return
				}
				f.nextDialAt = f.now + f.jitter(isolatedDialInterval)
			}
			f.dial(w)
			continue
		}
		f.scheduleReplacement(w, bad, pending, seeded)
		return
	}
	f.replaceAt = 0
	if !bad && !pending {
		f.replaceAttempts = 0
	}
}

// scheduleReplacement has a better one take another's place, after a pause by chance, one at a time: soon where one in use does badly, but
// not sooner each time when none is found that does better.
func (f *Subscriber) scheduleReplacement(w *candidate, bad, pending, seeded bool) {
	switch {
	case pending:
	case f.replaceAt != 0 && f.now >= f.replaceAt:
		f.replaceAt = 0
		if bad {
			f.replaceAttempts++
		}
		f.dial(w)
	case bad && !f.replaceSoon:
		f.replaceAt, f.replaceSoon = f.now+f.jitter(min(initialBackoff<<min(f.replaceAttempts, 10), maxBackoff)), true
		return
	case f.replaceAt != 0:
		return
	case seeded:
		f.replaceAt = f.now + f.jitter(seedReplaceDelay)
	default:
		f.replaceAt = f.now + minReplaceDelay + time.Duration(f.rng.Float64()*float64(2*minReplaceDelay))
	}
	f.replaceSoon = false
}

// dropWorst hangs up the one too many.
func (f *Subscriber) dropWorst(wanted []*candidate) {
	worth := func(w *candidate) int {
		n := 0
		if w.healthy && w.avoidUntil <= f.now {
			n += 4
		}
		if slices.Contains(wanted, w) {
			n += 2
		}
		if w.isListed {
			n++
		}
		return n
	}
	worst := f.active[0]
	for _, w := range f.active[1:] {
		if worth(w) < worth(worst) || worth(w) == worth(worst) && w.avoidUntil > f.now {
			worst = w
		}
	}
	f.emit(Event{Kind: EventUnsubscribed, Addr: worst.address, Detail: "a better ranked one is there"})
	if worst.state == stateOpen {
		f.send(worst, Message{Disconnect: &Disconnect{}})
	}
	f.closeConnection(worst)
}

func (f *Subscriber) dial(w *candidate) {
	f.Stats.Dials++
	w.state, w.stateSince, w.rejected, w.dialedAsSeed, w.healthy, w.avoidUntil = stateDialing, f.now, false, w.id == "", false, 0
	f.active = append(f.active, w)
	f.ready.Dial = append(f.ready.Dial, w.address)
}

// dropFailed hangs up on a relay and passes it over.
func (f *Subscriber) dropFailed(w *candidate, why string) {
	f.emit(Event{Kind: EventUnsubscribed, Addr: w.address, Detail: why})
	f.recordFailure(w)
	f.closeConnection(w)
}

// connectionLost is the end of a connection that others ended.
func (f *Subscriber) connectionLost(w *candidate) {
	f.recordFailure(w)
	f.deactivate(w)
}

func (f *Subscriber) closeConnection(w *candidate) {
	f.ready.Close = append(f.ready.Close, w.address)
	f.deactivate(w)
}

func (f *Subscriber) deactivate(w *candidate) {
	feeding := w.state == stateOpen && !w.standby && !w.synced
	w.state, w.pendingRenewals, w.pendingConfirmations, w.healthy = stateIdle, nil, nil, false
	f.active = slices.DeleteFunc(f.active, func(o *candidate) bool { return o == w })
	if !w.isListed {
		delete(f.candidates, w.address)
	}
	if !feeding {
		return
	}
	for _, o := range f.active { // somebody else brings this follower up to date
		if o.state == stateOpen && o.standby {
			f.requestSync(o, false)
			return
		}
	}
}

// recordFailure passes a relay over for a while that doubles.
func (f *Subscriber) recordFailure(w *candidate) {
	w.hasFailed, w.failedAt = true, f.now
	w.avoidUntil = max(w.avoidUntil, f.now+f.jitter(min(initialBackoff<<min(w.failures, 10), maxBackoff)))
	w.failures++
}

// jitter draws a span near one, so that those that began together do not go on together.
func (f *Subscriber) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(f.rng.Float64()*float64(d))
}

func (f *Subscriber) send(w *candidate, m Message) {
	f.ready.Sends = append(f.ready.Sends, SubscriberSend{w.address, m})
}

func (f *Subscriber) emit(l Event) {
	if len(f.ready.Events) < maxEvents {
		f.ready.Events = append(f.ready.Events, l)
	}
}
