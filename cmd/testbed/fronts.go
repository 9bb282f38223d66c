// This file owns the processes of fronts: what stands before the control processes of one region of a scale test, so that the ways to
// other regions' can be cut. They are processes of their own for their descriptors: two for each connection that goes through.

package main

import (
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"syscall"

	"sabletally/internal/lab/emulator"
)

// frontOrder is one order; the first one has Members.
type frontOrder struct {
	Members []netip.AddrPort
	Before  []int
	Cut     []int // members that are cut off from all others; none: all is well
}

// frontTold answers each order.
type frontTold struct {
	Reached map[int]netip.AddrPort
	Error   string
}

type frontsCmd struct{}

func (c *frontsCmd) Run() error {
	orders, out := gob.NewDecoder(os.Stdin), gob.NewEncoder(os.Stdout)
	var first frontOrder
	if err := orders.Decode(&first); err != nil {
		return fmt.Errorf("fronts were told nothing: %w", err)
	}
	f, err := emulator.NewForwarders(first.Members, first.Before)
	if err != nil {
		return errors.Join(err, out.Encode(frontTold{Error: err.Error()}))
	}
	defer f.Close()
	told := frontTold{Reached: map[int]netip.AddrPort{}}
	for _, m := range first.Before {
		told.Reached[m] = f.Advertised(m)
	}
	for {
		if err := out.Encode(told); err != nil {
			return err
		}
		var o frontOrder
		if err := orders.Decode(&o); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil // whoever started this process is gone or has done with it
		} else if err != nil {
			return err
		}
		f.Cut(o.Cut)
		told = frontTold{}
	}
}

// forwarderProcess is one of them, as it is seen from outside.
type forwarderProcess struct {
	cmd    *exec.Cmd
	in     io.Closer
	orders *gob.Encoder
	told   *gob.Decoder
}

// startForwarders starts one, and answers where its members are reached.
func startForwarders(self string, members []netip.AddrPort, before []int) (*forwarderProcess, map[int]netip.AddrPort, error) {
	cmd := exec.Command(self, "fronts")
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, nil, fmt.Errorf("fronts: %w", err)
	}
	p := &forwarderProcess{cmd: cmd, in: in, orders: gob.NewEncoder(in), told: gob.NewDecoder(out)}
	told, err := p.order(frontOrder{Members: members, Before: before})
	if err != nil {
		p.close()
		return nil, nil, err
	}
	return p, told.Reached, nil
}

// order gives one, and waits until it is carried out. It is one goroutine's.
func (p *forwarderProcess) order(o frontOrder) (told frontTold, err error) {
	if err = p.orders.Encode(o); err == nil {
		err = p.told.Decode(&told)
	}
	if err == nil && told.Error != "" {
		err = errors.New(told.Error)
	}
	if err != nil {
		err = fmt.Errorf("fronts: %w", err)
	}
	return told, err
}

func (p *forwarderProcess) close() {
	_ = p.in.Close()
	_ = p.cmd.Process.Kill() // it holds nothing that would be lost
	_ = p.cmd.Wait()
}
