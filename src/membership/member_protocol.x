/*
 * Datagrams between the membership services of two nodes.
 *
 * All calls are one-way: no RPC reply is sent. An ACK carries the xid of the
 * PING or INDIRECT that it answers. Every call contains a mem_wire_update, as
 * its last argument.
 */

const MEM_ADDRESS_SIZE = 45;
const MEM_NAME_SIZE = 63;
const MEM_RECORD_LIMIT = 64;
const MEM_BUCKET_COUNT = 256;

struct mem_wire_record {
	string address<MEM_ADDRESS_SIZE>;
	unsigned int gossip_port;
	/*
	 * hop_port in the low 16 bits, capacity in the high ones, to keep
	 * records small.
	 */
	unsigned int hop_port_and_capacity;
	unsigned int admin_port;
	string failure_domain<MEM_NAME_SIZE>;
	string service<MEM_NAME_SIZE>;
	string target_version<MEM_NAME_SIZE>;
	unsigned int phase;
	unsigned int state;
	unsigned hyper incarnation;
};

/* Digest of the sender's table, and records that the receiver may lack. */
struct mem_wire_update {
	unsigned hyper manifest_sequence;
	unsigned hyper table_hash;
	unsigned int live_count;
	unsigned int admin_port;
	mem_wire_record records<MEM_RECORD_LIMIT>;
};

/* The member that the receiver is asked to probe. */
struct mem_wire_peer {
	string address<MEM_ADDRESS_SIZE>;
	unsigned int gossip_port;
};

struct mem_wire_indirect {
	mem_wire_peer subject;
	mem_wire_update update;
};

/* Combined hash of the live members in each bucket of the sender's table. */
struct mem_wire_buckets {
	unsigned int hashes[MEM_BUCKET_COUNT];
};

struct mem_wire_pull {
	mem_wire_buckets buckets;
	mem_wire_update update;
};

program MEM_PROGRAM {
	version MEM_VERSION {
		void MEM_PING(mem_wire_update) = 1;
		void MEM_ACK(mem_wire_update) = 2;
		void MEM_INDIRECT(mem_wire_indirect) = 3;
		void MEM_GOSSIP(mem_wire_update) = 4;
		void MEM_PULL(mem_wire_pull) = 5;
		void MEM_PAGE(mem_wire_update) = 6;
	} = 2;
} = 0x2d07e001;
