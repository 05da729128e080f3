/*
 * A move of a node that takes its configuration from a gateway document.
 */
#ifndef ND_MOVE_H
#define ND_MOVE_H

#include "internal.h"

struct nd_move {
	struct nd_move_request request;
	struct mv_ramp_limits limits;
	struct mv_evaluation *evaluation;
	json_t *unreported;	  /* counts not yet sent to the evaluators */
	uint64_t reported_ms;	  /* when counts were last sent */
	uint32_t share_permille;  /* share in the snapshot */
	struct mv_turn turn;	  /* turn in the snapshot */
	uint64_t wanted_since_ms; /* 0: no change wanted */
	enum doc_move_state wanted_state;
	uint64_t requested_ms; /* 0: not requested yet */
	uint32_t logged_step;
	/*
	 * State in the store; another than request.state only while the store
	 * lacks the result of a move that has ended.
	 */
	enum doc_move_state stored_state;
};

/* moves.c: returns a new move for the request, owned by the node. */
struct nd_move *nd_new_move(struct nd_node *node,
			    const struct nd_move_request *request);

/* moves.c: sets share and turn for the present; returns whether they changed.
 */
bool nd_update_share(struct nd_move *move, uint64_t now_ms);

static inline bool nd_has_state_ended(enum doc_move_state state)
{
	return state == DOC_MOVE_DONE || state == DOC_MOVE_TAKEN_BACK;
}

static inline bool nd_has_move_ended(const struct nd_move *move)
{
	return nd_has_state_ended(move->request.state);
}

#endif
