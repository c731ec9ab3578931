package peers

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
)

const (
	methodHello = "peer.hello"
	methodProve = "peer.prove"

	roleServer = "server"
	roleClient = "client"

	nonceBytes = 16
)

type helloRequest struct {
	From  Identity `json:"from"`
	Nonce []byte   `json:"nonce"`
}

type helloResponse struct {
	From  Identity `json:"from"`
	Nonce []byte   `json:"nonce"`
	Proof []byte   `json:"proof"`
}

type proveRequest struct {
	Proof []byte `json:"proof"`
}

type proveResponse struct{}

// transcript contains the identities and nonces that both ends exchanged in the hello
// call.
type transcript struct {
	client, server           Identity
	clientNonce, serverNonce []byte
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce) // documented to never return an error
	return nonce
}

// proof returns the HMAC-SHA256 of the role and the transcript under the shared key.
// Including the role prevents one end from sending back the other end's proof as its
// own.
func (t *transcript) proof(key []byte, role string) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{
		[]byte(role),
		t.clientNonce, t.serverNonce,
		[]byte(t.client.ID), incarnationBytes(t.client),
		[]byte(t.server.ID), incarnationBytes(t.server),
	} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		mac.Write(size[:])
		mac.Write(part)
	}
	return mac.Sum(nil)
}

func (t *transcript) verify(key []byte, role string, proof []byte) bool {
	return hmac.Equal(proof, t.proof(key, role))
}

func incarnationBytes(id Identity) []byte {
	return binary.BigEndian.AppendUint64(nil, id.Incarnation)
}
