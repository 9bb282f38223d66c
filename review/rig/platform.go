package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// balancer is one balancer of a small deployment, with the listening socket that the platform holds on days with upgrades.
type balancer struct {
	r        *rig
	name     string
	address  string
	config   string // path of the configuration file
	shared   []*os.File
	tmp      string
	started  int
	settings string
	env      []string
	known    string // the list in the configuration file, which may be old; "" for the newest at each start
}

const (
	deadlineMs = 1800
	openFormat = "OPEN %016x %016x c=feed,t=acme,d=1800,g=%016x\r\n"
)

// defaultSettings are those of a small deployment of one class that may be repeated and is given up after 1.8 s.
const defaultSettings = `{"PeersTotal":3,"Zone":0,"Areas":["a","b"],"RegistryMode":"pushed",
 "ServiceGrades":[{"Name":"feed","Effect":"read_like","Group":"all","LatencyGoalUs":300000,"OuterLimitUs":1800000,"LateUtility":0,"Stream":true,"Utility":1,"WindowUs":5000000}],
 "Accounts":[{"Name":"acme"}],"Clients":{"MarksRetry":true},
 "Guarantees":{"ColdFrom":0.16,"ColdUs":23000000,"DrainGraceUs":750000,"FallMultiple":3,"FallUs":1500000,"AnswerSlackUs":8000,"AskWithinUs":10000000},
 "Limits":{"ConnectTimeoutUs":200000,"MostSetupTries":6,"MaxRetryAfterUs":1000000,"RetryAfter":true,"Probes":true,"Peers":false,"SecondCopies":false},
 "Weights":"rough","Prices":{"CrossZone":0.08},"Report":{"How":"none","Fields":[]},
 "Specifics":{"Groups":true,"MessageAimUs":[250000],"Mode":"proxy"}}`

// newBalancer prepares a balancer. If platformListens is set, the platform opens its listening socket, which each process inherits.
func (r *rig) newBalancer(name string, settings string, platformListens bool) *balancer {
	b := &balancer{r: r, name: name, tmp: filepath.Join(r.dir, name+".tmp"), config: filepath.Join(r.dir, name+".json"), settings: settings}
	if err := os.Mkdir(b.tmp, 0o700); err != nil {
		r.fail("%v", err)
	}
	b.address = r.freeAddress()
	if platformListens {
		ln, err := net.Listen("tcp", b.address)
		if err != nil {
			r.fail("%v", err)
		}
		file, err := ln.(*net.TCPListener).File()
		if err != nil {
			r.fail("%v", err)
		}
		_ = ln.Close()
		null, err := os.Open(os.DevNull)
		if err != nil {
			r.fail("%v", err)
		}
		b.shared = []*os.File{null, null, file} // descriptors 3, 4 and 5
	}
	return b
}

// start starts a process of the balancer, with an operators' address of its own.
func (b *balancer) start(env ...string) *process {
	b.started++
	mgmt := b.r.freeAddress()
	known := b.known
	if known == "" {
		known = b.r.agent.known()
	}
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"mgmt":%q,"seed":"8c1f30d27a5be9%02x",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		b.name, b.address, b.r.agent.address, mgmt, b.started, known, b.settings)
	next := b.config + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		b.r.fail("%v", err)
	}
	if err := os.Rename(next, b.config); err != nil {
		b.r.fail("%v", err)
	}
	env = append(append(env, b.env...), "EDGE_NAME="+b.name, "EDGE_LISTEN="+b.address, "EDGE_DISCOVERY="+b.r.agent.address, "EDGE_MGMT="+mgmt,
		"EDGE_CONFIG="+b.config, "TMPDIR="+b.tmp)
	if b.shared != nil {
		env = append(env, "EDGE_ACCEPT_FD=5")
	}
	p := b.r.launch(fmt.Sprintf("%s-%d", b.name, b.started), b.r.command, env, b.shared...)
	p.mgmt = mgmt
	return p
}

// establish has clients set up connections, each of a group of its own.
func (b *balancer) establish(count int) []*client {
	var all []*client
	for n := range count {
		c, err := b.r.connect(fmt.Sprintf("c%d", n), b.address)
		if err != nil {
			b.r.fail("%v", err)
		}
		answer, err := c.request(fmt.Sprintf(openFormat, 0x1000+n, 0x9e3779b97f4a7c15*uint64(n+1), n+1), deadlineMs*time.Millisecond)
		if err != nil || !strings.HasPrefix(answer, "UP ") {
			b.r.fail("client %d: %q, %v", n, answer, err)
		}
		c.chat()
		all = append(all, c)
	}
	return all
}
