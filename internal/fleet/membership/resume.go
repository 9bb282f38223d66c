package membership

import "time"

const (
	maxPings          = 31 // members that are asked in one round
	pingRoundInterval = time.Second
)

// pingRound asks members after a pause whether they still respond. It ends once a majority did.
type pingRound struct {
	active    bool
	startedAt time.Duration
	responded map[string]bool // by ID, of those that were asked
}

// startPingRound asks all members that are alive, or a random part of them.
func (t *Table) startPingRound() {
	t.pings.startedAt = t.now
	clear(t.pings.responded)
	var ids []string
	for _, peer := range t.sorted() {
		if peer.State == Alive {
			ids = append(ids, peer.ID)
		}
	}
	if len(ids) == 0 { // nobody was alive who could have gone on without this member
		t.pings.active = false
		return
	}
	t.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids[:min(len(ids), maxPings)] {
		t.pings.responded[id] = false
		t.request(Action{Kind: Ping, ID: id})
	}
}

// HandlePingResult takes whether a member responded.
func (t *Table) HandlePingResult(id string, ok bool) {
	if _, wasAsked := t.pings.responded[id]; !wasAsked || !ok {
		return
	}
	t.pings.responded[id] = true
	if t.pings.active && t.pings.hasMajority() {
		t.pings.active = false
		t.reportChanges()
	}
}

// hasMajority reports whether more than half responded, this member included.
func (r *pingRound) hasMajority() bool {
	responses := 0
	for _, responded := range r.responded {
		if responded {
			responses++
		}
	}
	return 2*(responses+1) > len(r.responded)+1
}
