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

// forwarderRequest is one request to a forwarder process. Only the first one has Members and Forwarded.
type forwarderRequest struct {
	Members   []netip.AddrPort // listen addresses of all control processes
	Forwarded []int            // indices of the members that the process forwards to
	CutOff    []int            // indices of the members to cut off from all others; empty to restore all links
}

// forwarderResponse answers each request.
type forwarderResponse struct {
	Advertised map[int]netip.AddrPort // address of the forwarder by index of its member; in the first response only
	Error      string                 // reason why the process failed, "" otherwise
}

// forwardersCmd runs the forwarders in front of the control processes of one region of a scale test, so that their links to other
// regions can be cut. Forwarders need two descriptors for each connection and therefore run in processes of their own, each with its own
// descriptor limit. Requests are gob messages on standard input; responses are gob messages on standard output.
type forwardersCmd struct{}

func (c *forwardersCmd) Run() error {
	requests := gob.NewDecoder(os.Stdin)
	responses := gob.NewEncoder(os.Stdout)
	var first forwarderRequest
	if err := requests.Decode(&first); err != nil {
		return fmt.Errorf("reading the first forwarder request: %w", err)
	}
	forwarders, err := emulator.NewForwarders(first.Members, first.Forwarded)
	if err != nil {
		return errors.Join(err, responses.Encode(forwarderResponse{Error: err.Error()}))
	}
	defer forwarders.Close()
	response := forwarderResponse{Advertised: map[int]netip.AddrPort{}}
	for _, member := range first.Forwarded {
		response.Advertised[member] = forwarders.Advertised(member)
	}
	for {
		if err := responses.Encode(response); err != nil {
			return err
		}
		var request forwarderRequest
		err := requests.Decode(&request)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil // the parent process closed the stream or ended
		}
		if err != nil {
			return err
		}
		forwarders.CutLinks(request.CutOff)
		response = forwarderResponse{}
	}
}

// forwarderProcess is the parent's handle of a forwarder process.
type forwarderProcess struct {
	cmd       *exec.Cmd
	stdin     io.Closer
	requests  *gob.Encoder
	responses *gob.Decoder
}

// startForwarders starts a process that forwards to the members whose indices are in forwarded, and returns the address of each forwarder
// by the index of its member.
func startForwarders(executable string, members []netip.AddrPort, forwarded []int) (*forwarderProcess, map[int]netip.AddrPort, error) {
	cmd := exec.Command(executable, "fronts")
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, nil, err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, nil, fmt.Errorf("starting the forwarder process: %w", err)
	}
	p := &forwarderProcess{cmd: cmd, stdin: stdin, requests: gob.NewEncoder(stdin), responses: gob.NewDecoder(stdout)}
	response, err := p.call(forwarderRequest{Members: members, Forwarded: forwarded})
	if err != nil {
		p.close()
		return nil, nil, err
	}
	return p, response.Advertised, nil
}

// call sends a request and waits for the response. Only one goroutine may call it at a time.
func (p *forwarderProcess) call(request forwarderRequest) (forwarderResponse, error) {
	var response forwarderResponse
	if err := p.requests.Encode(request); err != nil {
		return response, fmt.Errorf("sending a request to the forwarder process: %w", err)
	}
	if err := p.responses.Decode(&response); err != nil {
		return response, fmt.Errorf("reading a response of the forwarder process: %w", err)
	}
	if response.Error != "" {
		return response, fmt.Errorf("forwarder process failed: %s", response.Error)
	}
	return response, nil
}

// close kills the process, which has no state to save.
func (p *forwarderProcess) close() {
	_ = p.stdin.Close()
	_ = p.cmd.Process.Kill() // the kill fails only if the process has ended
	_ = p.cmd.Wait()         // a killed process reports an error
}
