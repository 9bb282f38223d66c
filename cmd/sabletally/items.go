package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"sabletally/internal/fleet/shardmap"
)

type putCmd struct {
	Address string  `arg:"" help:"The operators' address of any control process."`
	Key     string  `arg:"" help:"The item, such as config/limits."`
	Value   string  `arg:"" optional:"" help:"Its value; @FILE reads it from a file."`
	Gone    bool    `help:"The item is to go."`
	Op      string  `help:"A name of this change alone: asked for again under it, the same version is answered."`
	If      *uint64 `help:"Only if this is the version that put the item last; 0: only if there is none."`
}

// Run sets or deletes an item and prints the version that has the change.
func (c putCmd) Run() error {
	query := url.Values{}
	if c.Op != "" {
		query.Set("op", c.Op)
	}
	if c.If != nil {
		query.Set("if", strconv.FormatUint(*c.If, 10))
	}
	if c.Gone {
		return requestItem(c.Address, http.MethodDelete, c.Key, query, nil)
	}
	value, err := c.value()
	if err != nil {
		return err
	}
	return requestItem(c.Address, http.MethodPut, c.Key, query, value)
}

// value returns the item's value from the arguments, or from the file that @FILE names.
func (c putCmd) value() ([]byte, error) {
	if path, isFile := strings.CutPrefix(c.Value, "@"); isFile {
		return os.ReadFile(path)
	}
	return []byte(c.Value), nil
}

type getCmd struct {
	Address string `arg:"" help:"The operators' address of any control process."`
	Key     string `arg:"" help:"The item, such as config/limits."`
}

// Run prints the value of an item.
func (c getCmd) Run() error { return requestItem(c.Address, http.MethodGet, c.Key, nil, nil) }

// requestItem sends a request about an item to a control process and prints the body of the response.
func requestItem(address, method, key string, query url.Values, body []byte) error {
	if !strings.HasPrefix(key, shardmap.ConfigPrefix) {
		return fmt.Errorf("key %q is not an item of configuration: it must begin with %q", key, shardmap.ConfigPrefix)
	}
	u := url.URL{Scheme: "http", Host: address, Path: "/control/" + key, RawQuery: query.Encode()}
	request, err := http.NewRequest(method, u.String(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	client := http.Client{Timeout: callTimeout + time.Second}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // an error loses no data, as the body was read
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s: %s", address, response.Status, bytes.TrimSpace(text))
	}
	_, err = os.Stdout.Write(text)
	return err
}
