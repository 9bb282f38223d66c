package main

import "strconv"

// hex returns a number as an id or a key.
func hex(n int) string { return strconv.FormatInt(int64(n), 16) }
