// Package checksum computes the checksum that all files and frames of the fleet use: CRC-32 with the Castagnoli polynomial. It detects
// accidental damage; it offers no protection against an attacker.
package checksum

import "hash/crc32"

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Sum returns the CRC-32C of data.
func Sum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }
