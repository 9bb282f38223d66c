package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// fleetFiles writes the fleet files of balancers that are full members, each on a machine of its own, and returns their paths.
func fleetFiles(dir string, names []string, classes ...string) ([]string, error) {
	var addresses, quoted, files []string
	for range names {
		address := freeAddress()
		addresses = append(addresses, address)
		quoted = append(quoted, fmt.Sprintf("%q", address))
	}
	for i := range classes {
		classes[i] = fmt.Sprintf("%q", classes[i])
	}
	for i, name := range names {
		data := filepath.Join(dir, "data-"+name)
		if err := os.Mkdir(data, 0o700); err != nil {
			return nil, err
		}
		text := fmt.Sprintf("fleet \"small\" {\n  listen = %q\n  seeds = [%s]\n  data = %q\n  copies = 3\n  machine = \"m-%s\"\n  zone = %q\n  site = \"one\"\n}\nhold \"intents\" { grades = [%s] }\n",
			addresses[i], strings.Join(quoted, ", "), data, name, halls[i], strings.Join(classes, ", "))
		file := filepath.Join(dir, name+".hcl")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	return files, nil
}

// startFleet starts balancers that are the members of one fleet and waits until each can record sessions of a class.
func startFleet(r *run, d *discoveryAgent, conf func(index int) object, recorded string) ([]*balancer, error) {
	names := []string{"n1", "n2", "n3"}
	files, err := fleetFiles(r.tmp, names, recorded)
	if err != nil {
		return nil, err
	}
	var all []*balancer
	for i, name := range names {
		tmp := filepath.Join(r.tmp, "tmp-"+name)
		if err := os.Mkdir(tmp, 0o700); err != nil {
			return nil, err
		}
		b, err := startBalancer(r.rec, options{name: name, dir: r.tmp, tmp: tmp, listen: freeAddress(), discovery: d.addr, known: d.whole(),
			settings: conf(i), fleet: files[i]})
		if err != nil {
			return nil, err
		}
		all = append(all, b)
	}
	return all, awaitRecording(r, all, recorded)
}
