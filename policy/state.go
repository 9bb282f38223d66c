package policy

import "time"

// This file holds the types of what a Balancer remembers. What it does with them is in policy.go and cold.go.

// edge is what a message takes, as a part of the shortest message goal, and the reported load over capacity.
type edge struct{ delay, asked float64 }

// version is one frozen pool: the ready servers of one list, sorted by id.
type version struct {
	servers []int // dense indices
	heft    []float64
	size    float64 // sum of the heft
	mark    uint32  // the same at every balancer that has the same list
	users   int     // connections that were placed by it
}

// circuit is one circuit taken, from its arrival to its end.
type circuit struct {
	id                  SessionID
	key                 uint64 // the client's key
	place               uint64 // what the ranking hashes: the group where there is one, else the client's key
	grade               *Class
	row, tenant         int           // of its grade, of its tenant
	until               time.Duration // the outer limit of this client's try
	out, open, answered bool          // a setup try is out; the connection stands; the final answer is given
	tried               []int         // servers already tried
	server, slot        int           // of the newest try, -1 before the first; place in held[server]
	pool                *version
	load                float64
	waits               time.Duration // for a report, until then at the latest
	tries, most, asks   int           // made; that its settings allowed; reports it has waited for
	moving, wanted      bool          // planned to move; it came to a cold server
	sentAt, ranAt       time.Duration // when the newest try was sent, when the first that may have run
	ranOn, waitsOn      int           // its server, -1 while none; whose report it waited for, or -1
}

// Balancer is one balancer's knowledge and decisions.
type Balancer struct {
	dep                *Config
	now, triedAt       time.Duration // the newest setup try
	seed, chance       uint64
	away, across       float64       // weight of a server in another zone; for the circuit at hand
	goal               time.Duration // the shortest message goal
	index              map[EndpointID]int
	circuit            map[SessionID]*circuit
	pools              []*version // oldest first; the newest places new connections
	queue              []*circuit // circuits that wait for a decision,
	waiting            []*circuit // for a load report
	due                []Decision // moves and probes
	roundAt, tallyAt   time.Duration
	trying, total      int              // setup tries out; connections and setup tries held
	group              map[uint64]int   // the same by group
	tenant             []int            // the same by tenant
	heldMean           float64          // connections held here, over a while
	proven             map[uint64]proof // by kind of server
	gloom, usual       float64          // part of servers holding something that is jammed; usual load
	usualOf            []average        // the same by grade
	noted              average          // of all loads told, whose mean is usual
	warm               int              // ready servers that are
	fleetSize          float64          // heft of all servers, at the most that were ready at once
	entitled           float64          // connections of all tenants' shares, over all balancers
	good, bad, late    float64          // setup tries that came to stand lately, that failed, that stood late
	wanted, colds      float64          // circuits that came to a cold server lately; what those draw together
	turn               time.Duration    // no try so long after a time-out, 0 for few balancers
	noColdUntil        time.Duration    // no try at a cold server before
	shut, shutTill     time.Duration    // the newest such wait, and its end
	leaveFrom, leaveBy time.Duration    // all that is held is moved between these, never while it stays
	tellAt             time.Duration    // when the others are told next, never where they are not,
	arrived, denied    int              // circuits since the last time; nacked ones since the newest try
	told               [][]float64      // what each did, by dense index of the servers,
	toldAt             []time.Duration  // and when
	heard              bool             // most of them did lately

	// Figures about servers, by dense index.
	id               []EndpointID
	zone, cell       []int
	kind             []uint64
	state            []EndpointState
	heft             []float64
	started          []time.Duration
	held             [][]*circuit // connections and setup tries out
	load, fails      []float64    // load of the connections held; failures, less what successes took off
	aside, probing   []bool
	span, probeAt    []time.Duration // how long it is set aside before the next probe, and when that is due
	answers          []int           // answered probes in a row
	delay, delayAt   []time.Duration // what a message takes, by the newest note, and when that came
	asked, others    []float64       // load over capacity, by the newest report; what other balancers hold
	askedAt, movedAt []time.Duration // when that report came; a move away from it was last considered
	sentAt           []time.Duration // when the newest setup try went there,
	spent            [][]spending    // and all within one span while it is cold
	room, shown      []float64       // load of own connections: before it is crowded; with room told since

	untrue map[[2]int]time.Duration // by zone and cell: until then reports tell of no room
	reach  int                      // how far down the ranking a circuit may go, so that its group is not spread
	rank   []ranked                 // scratch of order
}
