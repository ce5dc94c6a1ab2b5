package demo

import (
	"crypto/sha256"
	"encoding/hex"
)

// TokenHash returns the SHA-256 of a token in hex, which is what settings and the configuration store.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
