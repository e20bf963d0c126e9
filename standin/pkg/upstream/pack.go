package upstream

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
)

// packSeed is the seed of the pseudorandom bytes. It is the same in every upstream, so that all have the same pack.
const packSeed = 7

// pack is the content of the download with its SHA-256 hash in hexadecimal.
type pack struct {
	bytes []byte
	hash  string
}

// newPack returns the pack with this number of bytes. It consists of pseudorandom bytes and is the same in every upstream.
func newPack(size uint64) *pack {
	var seed [32]byte
	seed[0] = packSeed
	b := make([]byte, size)
	_, _ = rand.NewChaCha8(seed).Read(b)
	sum := sha256.Sum256(b)
	return &pack{bytes: b, hash: hex.EncodeToString(sum[:])}
}
