/*
 * Encoding of membership datagrams with libtirpc's XDR and call headers.
 *
 * A datagram is an RPC call header with AUTH_NONE, then the arguments that only
 * MEM_INDIRECT or MEM_PULL has, then the update that all calls have. XDR checks
 * lengths; this file checks the ranges of numbers and the form of texts.
 */
#include "codec.h"

#include <arpa/inet.h>
#include <string.h>
#include <rpc/rpc_msg.h>
#include "loom/error.h"
#include "loom/membership.h"

/*
 * In bytes: xid, direction, RPC version, program, version, procedure, 2 x
 * AUTH_NONE.
 */
#define CALL_HEADER_SIZE 40U

/* In bytes: an update without records, and the count of records. */
#define EMPTY_UPDATE_SIZE 28U

/* In bytes, the numbers of a record: 3 ports, phase, state, incarnation. */
#define RECORD_NUMBERS_SIZE 28U

#define PORT_MAX 65535U

static size_t get_text_size(const char *text)
{
	return BYTES_PER_XDR_UNIT + RNDUP(strlen(text));
}

static bool is_address(const char *text)
{
	struct in6_addr address;

	return inet_pton(AF_INET, text, &address) == 1 ||
	       inet_pton(AF_INET6, text, &address) == 1;
}

/* Returns the name of an invalid field (borrowed), or NULL. */
static const char *find_invalid_field(const mem_wire_record *record)
{
	if (!is_address(record->address))
		return "address";
	if (record->gossip_port == 0 || record->gossip_port > PORT_MAX)
		return "gossip_port";
	if (record->admin_port > PORT_MAX)
		return "admin_port";
	if (!mem_is_name(record->failure_domain))
		return "failure_domain";
	if (!mem_is_name(record->service))
		return "service";
	if (!mem_is_name(record->target_version))
		return "target_version";
	if (record->phase > RT_PHASE_LEAVING)
		return "phase";
	if (record->state > MEM_STATE_LEFT)
		return "state";
	if (record->incarnation > MEM_INCARNATION_MAX)
		return "incarnation";
	return NULL;
}

static const char *find_message_problem(const struct mem_message *message)
{
	const mem_wire_update *update = &message->update;

	if (update->admin_port > PORT_MAX)
		return "admin_port of the sender";
	if (message->procedure == MEM_INDIRECT) {
		if (!is_address(message->subject.address))
			return "address of the subject";
		if (message->subject.gossip_port == 0 ||
		    message->subject.gossip_port > PORT_MAX)
			return "gossip_port of the subject";
	}
	for (u_int i = 0; i < update->records.records_len; i++) {
		const char *problem;

		problem = find_invalid_field(&update->records.records_val[i]);
		if (problem)
			return problem;
	}
	return NULL;
}

static bool transcode_arguments(XDR *xdr, struct mem_message *message)
{
	switch (message->procedure) {
	case MEM_PING:
	case MEM_ACK:
	case MEM_GOSSIP:
	case MEM_PAGE:
		break;
	case MEM_INDIRECT:
		if (!xdr_mem_wire_peer(xdr, &message->subject))
			return false;
		break;
	case MEM_PULL:
		if (!xdr_mem_wire_buckets(xdr, &message->buckets))
			return false;
		break;
	default:
		return false;
	}
	return xdr_mem_wire_update(xdr, &message->update);
}

static bool encode_header(XDR *xdr, const struct mem_message *message)
{
	struct rpc_msg call = {
		.rm_xid = message->xid,
		.rm_direction = CALL,
	};

	call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call.rm_call.cb_prog = MEM_PROGRAM;
	call.rm_call.cb_vers = MEM_VERSION;
	call.rm_call.cb_proc = message->procedure;
	call.rm_call.cb_cred = _null_auth;
	call.rm_call.cb_verf = _null_auth;
	return xdr_callmsg(xdr, &call);
}

/* Returns a description of the error in the call header (borrowed), or NULL. */
static const char *decode_header(XDR *xdr, struct mem_message *message)
{
	char credentials[MAX_AUTH_BYTES];
	char verifier[MAX_AUTH_BYTES];
	struct rpc_msg call = { 0 };

	call.rm_call.cb_cred.oa_base = credentials;
	call.rm_call.cb_verf.oa_base = verifier;
	if (!xdr_callmsg(xdr, &call))
		return "not an RPC call";
	if (call.rm_call.cb_prog != MEM_PROGRAM ||
	    call.rm_call.cb_vers != MEM_VERSION)
		return "unknown RPC program or version";
	if (call.rm_call.cb_cred.oa_flavor != AUTH_NONE ||
	    call.rm_call.cb_cred.oa_length != 0 ||
	    call.rm_call.cb_verf.oa_length != 0)
		return "credentials other than AUTH_NONE";
	message->xid = call.rm_xid;
	message->procedure = call.rm_call.cb_proc;
	return NULL;
}

bool mem_is_name(const char *text)
{
	size_t size = strlen(text);

	for (size_t i = 0; i < size; i++)
		if (text[i] <= ' ' || text[i] > '~')
			return false;
	return size <= MEM_NAME_SIZE;
}

size_t mem_get_record_size(const mem_wire_record *record)
{
	return get_text_size(record->address) +
	       get_text_size(record->failure_domain) +
	       get_text_size(record->service) +
	       get_text_size(record->target_version) + RECORD_NUMBERS_SIZE;
}

size_t mem_get_empty_size(uint32_t procedure)
{
	size_t size = CALL_HEADER_SIZE + EMPTY_UPDATE_SIZE;

	if (procedure == MEM_INDIRECT)
		size += 2 * BYTES_PER_XDR_UNIT + RNDUP(MEM_ADDRESS_SIZE);
	if (procedure == MEM_PULL)
		size += MEM_BUCKET_COUNT * BYTES_PER_XDR_UNIT;
	return size;
}

size_t mem_encode_message(const struct mem_message *message, uint8_t *buffer)
{
	struct mem_message copy = *message;
	size_t size = 0;
	XDR xdr;

	xdrmem_create(&xdr, (char *)buffer, MEM_DATAGRAM_SIZE, XDR_ENCODE);
	if (encode_header(&xdr, message) && transcode_arguments(&xdr, &copy))
		size = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return size;
}

bool mem_decode_message(const uint8_t *buffer, size_t size, const char *peer,
			struct mem_message *message, GError **error)
{
	const char *problem;
	XDR xdr;

	memset(message, 0, sizeof(*message));
	if (size > MEM_DATAGRAM_SIZE) {
		err_set(error, ERR_INVALID_MESSAGE, "decode datagram", peer,
			"got %zu bytes, wanted at most %u", size,
			MEM_DATAGRAM_SIZE);
		return false;
	}
	/*
	 * XDR_DECODE does not write to the buffer; the interface lacks the
	 * const.
	 */
	xdrmem_create(&xdr, (char *)(uintptr_t)buffer, (u_int)size, XDR_DECODE);
	problem = decode_header(&xdr, message);
	if (!problem && !transcode_arguments(&xdr, message))
		problem = "arguments are truncated or exceed a limit";
	if (!problem && xdr_getpos(&xdr) != size)
		problem = "unexpected bytes after the arguments";
	if (!problem)
		problem = find_message_problem(message);
	xdr_destroy(&xdr);
	if (!problem)
		return true;
	mem_clear_message(message);
	err_set(error, ERR_INVALID_MESSAGE, "decode datagram", peer,
		"invalid call: %s", problem);
	return false;
}

void mem_clear_message(struct mem_message *message)
{
	xdr_free((xdrproc_t)xdr_mem_wire_peer, &message->subject);
	xdr_free((xdrproc_t)xdr_mem_wire_update, &message->update);
	memset(message, 0, sizeof(*message));
}
