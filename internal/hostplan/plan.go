// Package hostplan divides the memory and the descriptors of a node's host between what the node itself needs and what
// its callers may make it hold.
//
// What callers and endpoints can cause is bounded by the number of their connections, by pools for what grows with the bytes that
// they send, and by the sizes of their socket buffers. The worst cases of all of these, together with what the program
// takes, stay within the host's memory: see Plan.Worst.
package hostplan

const (
	// programBytes is what the program's code and its constant data take of a host's memory.
	programBytes = 20 << 20
	// heapShare is the fraction of the host's memory above which the garbage collector works harder. It holds the
	// connections, the pools, and the node's own state.
	heapShare = 0.55
	// spareShare is the fraction for what is not counted, such as partly used pages.
	spareShare = 1.0 / 16
	// windowsShare is the fraction for the larger socket buffers of connections that carry much.
	windowsShare = 1.0 / 32
	// connectionsShare, headsShare and bodiesShare are the fractions for connections, large heads, and buffered bodies
	// of requests and answers. The rest of heapShare, a tenth, is for the node's own state.
	connectionsShare = 0.2
	headsShare       = 1.0 / 16
	bodiesShare      = 3.0 / 16
	// answerHeadsPart is the part of the memory for heads that answers may take. The rest is for requests alone: a caller
	// can be told to come back, while a request whose answer is dropped has run.
	answerHeadsPart = 1.0 / 2

	// connectionBytes is the heap that a connection takes while its request is served: stacks, the buffers of both
	// sides, and a head of ordinary size.
	connectionBytes = 40 << 10
	// receiveBytes and sendBytes are the sizes of the socket buffers of a caller's connection. A caller that sends
	// faster than it is read, or reads slower than it is answered, waits.
	receiveBytes = 8 << 10
	sendBytes    = 8 << 10
	// kernelFactor is how much of a socket buffer's size the kernel may hold in it.
	kernelFactor = 2
	// socketBytes is what the kernel may hold for each connection that may be open.
	socketBytes = kernelFactor * (receiveBytes + sendBytes + waitingFactor*receiveBytes)
	// waitingFactor is the number of connections that may wait to be accepted, for each that may be open. What each of
	// them holds fits its receive buffer.
	waitingFactor = 1

	// fileDescriptors are the descriptors that sockets don't use.
	fileDescriptors = 200
	// callersFiles is the fraction of the sockets for callers' connections. Each of these, and of those of other nodes,
	// may have a connection to an endpoint in use.
	callersFiles = 0.35
	// idleFiles is the fraction for connections to endpoints and other nodes that no request uses. The rest, a 50th, is
	// for the metadata store, probes and datagrams.
	idleFiles = 0.19
	// minConnections keeps a node usable whose host states very small limits.
	minConnections = 8
	// peersPart is the part of the callers' connections that other nodes may open to pass requests on.
	peersPart = 1.0 / 8
	// readyConnections is the number of connections for readiness checks and metrics.
	readyConnections = 16

	defaultMemory = 256 << 20
	defaultFiles  = 1024
)

// Plan holds the bounds on what callers make a node hold.
type Plan struct {
	MemoryBytes int64 // of the host
	// HeapBytes is the size of the heap above which the garbage collector works harder.
	HeapBytes int64
	// Connections, PeerConnections and ReadyConnections bound the open connections of callers, of other nodes that
	// pass requests, and of readiness checks.
	Connections, PeerConnections, ReadyConnections int
	// IdleConnections bounds the connections to endpoints and other nodes that no request uses.
	IdleConnections           int
	HeadBytes                 int64   // for heads of more than ordinary size
	AnswerHeadsPart           float64 // the part of HeadBytes that answers may take
	BodyBytes                 int64   // for buffered bodies
	WindowBytes               int64   // for larger socket buffers
	ReceiveBuffer, SendBuffer int     // sizes of socket buffers, in bytes
}

// New returns the plan for a host with the given memory and number of descriptors. Limits that are not positive count
// as unspecified.
func New(memoryBytes int64, files int) Plan {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemory
	}
	if files <= 0 {
		files = defaultFiles
	}
	connections := connectionsOf(memoryBytes, files)
	return Plan{
		MemoryBytes:      memoryBytes,
		HeapBytes:        part(memoryBytes, heapShare),
		Connections:      connections,
		PeerConnections:  max(int(peersPart*float64(connections)), minConnections),
		ReadyConnections: readyConnections,
		IdleConnections:  max(int(idleFiles*socketsOf(files)), minConnections),
		HeadBytes:        part(memoryBytes, headsShare),
		AnswerHeadsPart:  answerHeadsPart,
		WindowBytes:      part(memoryBytes, windowsShare),
		BodyBytes:        part(memoryBytes, bodiesShare),
		ReceiveBuffer:    receiveBytes,
		SendBuffer:       sendBytes,
	}
}

// connectionsOf returns the number of callers' connections for which the heap, the rest of the memory and the
// descriptors suffice.
func connectionsOf(memoryBytes int64, files int) int {
	inHeap := part(memoryBytes, connectionsShare) / connectionBytes
	outside := part(memoryBytes, 1-heapShare-windowsShare-spareShare) - programBytes
	inKernel := int64(float64(outside/socketBytes-readyConnections) / (1 + peersPart))
	inFiles := int64(callersFiles * socketsOf(files))
	return int(max(min(inHeap, inKernel, inFiles), minConnections))
}

// socketsOf returns the number of sockets for requests.
func socketsOf(files int) float64 { return float64(files - fileDescriptors - readyConnections) }

// Worst returns the memory, in bytes, that the process takes if its heap is full and all connections hold as many
// unread bytes as they can.
func (p Plan) Worst() int64 {
	connections := int64(p.Connections + p.PeerConnections + p.ReadyConnections)
	return programBytes + p.HeapBytes + p.WindowBytes + connections*socketBytes + part(p.MemoryBytes, spareShare)
}

func part(bytes int64, share float64) int64 { return int64(share * float64(bytes)) }
