/*
 * The configuration in force. It never reverts, a failure domain that was taken out
 * receives no packets, and packets for an address that moves between two services
 * never reach the wrong service.
 *
 * Revision 1: the domain is in, and the address belongs to service 1. Revision 2: the
 * domain is out. Revision 3: the domain is in, and the address belongs to service 2.
 * Two instances learn of revisions from a platform that lags and from each other, late
 * and out of order. An instance restarts with no state; an instance is paused and
 * continues later.
 *
 * An instance may forget a revision for a while after its restart if it alone had
 * adopted the revision. It may not forget one that was in force everywhere.
 *
 * Assumptions: an instance restarts only while another one serves. An instance that
 * has not confirmed its view in time, or finds a gap in its clock, detects this and
 * stops acting. The quarantine is longer than the time within which a view must be
 * confirmed, so it does not end while an instance acts on the older view. A fenced
 * instance may read the platform, and acts again only after an instance that serves
 * has confirmed its view.
 */

#define N 2
#define LAST 3

#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef PAUSES
#define PAUSES 1
#endif

/* Latest revision that the platform has published. */
byte published = 1;
/* Revision that each instance has adopted; 0 before the first one. */
byte view[N];
/* Highest revision that each instance has had since its last restart. */
byte highest[N];
bool ready[N];
bool paused[N];
/* The instance was paused, or has not confirmed its view in time. */
bool fenced[N];
/* Latest revision that is in force: every instance that may act has adopted it. */
byte in_force;
/* Whether each instance considers the quarantine of the moved address to be over. */
bool over[N];
/* A packet for the address has reached the new service. */
bool new_service;

#define acts(i) (ready[i] && !paused[i] && !fenced[i])
#define current(i, r) (!acts(i) || view[i] >= r)

inline adopt(i, number) {
#ifdef BROKEN_ANY_REVISION
	if
	:: number != 0 -> view[i] = number
	:: else
	fi;
#else
	if
	:: number > view[i] -> view[i] = number
	:: else
	fi;
#endif
	/* The view never reverts between restarts. */
	assert(!ready[i] || view[i] >= highest[i]);
	if
	:: ready[i] && view[i] > highest[i] -> highest[i] = view[i]
	:: else
	fi
}

proctype Instance(byte me)
{
	byte heard;
	byte restarts = RESTARTS;
	byte pauses = PAUSES;
	byte peer = 1 - me;

	do
	:: atomic {
		/* The platform answers, possibly with an old revision. */
		!paused[me] ->
			if
			:: heard = 1
			:: published >= 2 -> heard = 2
			:: published >= 3 -> heard = 3
			fi;
			adopt(me, heard);
			heard = 0
	   }
	:: atomic {
		/* A heartbeat of the peer carries the peer's view. */
		(!paused[me] && view[peer] != 0) -> adopt(me, view[peer])
	   }
	:: atomic {
		/* The instance becomes ready once its view is at least that of a serving peer. */
		(!paused[me] && !ready[me] && view[me] != 0
#ifndef BROKEN_JOIN
			&& acts(peer) && view[me] >= view[peer]
#endif
		) ->
			ready[me] = true;
			/* A view that is in force does not revert across a restart. */
			assert(view[me] >= in_force);
			highest[me] = view[me]
	   }
	:: atomic {
		(restarts > 0 && !paused[me] && acts(peer)) ->
			restarts--;
			view[me] = 0;
			highest[me] = 0;
			ready[me] = false;
			fenced[me] = false;
			over[me] = false
	   }
	:: atomic {
		(pauses > 0 && !paused[me]) ->
			pauses--;
			paused[me] = true
	   }
	:: atomic {
		paused[me] ->
			paused[me] = false;
#ifndef BROKEN_NO_FENCE
			fenced[me] = true
#endif
	   }
	:: atomic {
		/* After the pause, the peer confirms with its own view. */
		(fenced[me] && !paused[me] && acts(peer)) ->
			adopt(me, view[peer]);
			fenced[me] = false
	   }
	:: atomic {
		/* The instance could not confirm its view in time. */
		(acts(me) && view[me] < published) -> fenced[me] = true
	   }
	:: atomic {
		/* The quarantine ends: no instance acts on the older view any more. */
		(view[me] == 3 && !over[me]
#ifndef BROKEN_NO_QUARANTINE
			&& current(0, 3) && current(1, 3)
#endif
		) -> over[me] = true
	   }
	:: atomic {
		/* A packet for the address arrives. */
		acts(me) ->
			/* No packet goes to the domain once the revision that takes it out is in force. */
			assert(in_force < 2 || view[me] >= 2);
			if
			:: view[me] == 1 ->
				assert(!new_service)
			:: view[me] == 3 && over[me] -> new_service = true
			:: else
			fi
	   }
	:: break
	od
}

proctype Platform()
{
	do
	:: atomic { published < LAST -> published++ }
	:: atomic {
		(in_force < 2 && published >= 2 && current(0, 2) && current(1, 2)) -> in_force = 2
	   }
	:: atomic {
		(in_force < 3 && published >= 3 && current(0, 3) && current(1, 3)) -> in_force = 3
	   }
	:: break
	od
}

init {
	atomic {
		view[0] = 1;
		view[1] = 1;
		highest[0] = 1;
		highest[1] = 1;
		ready[0] = true;
		ready[1] = true;
		run Platform();
		run Instance(0);
		run Instance(1)
	}
}
