package plan

import "github.com/cespare/xxhash/v2"

// ServiceTag returns the hash that identifies a service in datagrams.
func ServiceTag(service string) uint32 {
	return uint32(xxhash.Sum64String(service))
}
