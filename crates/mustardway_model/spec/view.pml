/*
 * The configuration in force: it never reverts, a failure domain that was taken out
 * gets no packets, and an address that moves between two services stays apart.
 *
 * Revision 1: domain in, the address belongs to service 1. Revision 2: domain out.
 * Revision 3: domain in, the address belongs to service 2. Two instances learn of
 * revisions from a platform that lags, from each other, late and out of order; an
 * instance restarts with nothing; one is paused and goes on later.
 *
 * A revision that one instance alone had adopted may be unknown to it after its
 * restart for a while; one that was in force everywhere may not.
 *
 * Assumptions: an instance restarts only while another one serves; an instance that
 * has not confirmed its view in time, or finds a gap on its clock, knows it and
 * stops; the quarantine is longer than that time, so it does not end while an
 * instance acts on the older view. A fenced instance may read the platform and is
 * heard again only through an instance that serves.
 */

#define N 2
#define LAST 3

#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef PAUSES
#define PAUSES 1
#endif

/* What the platform has published. */
byte published = 1;
/* What each instance has in force, 0 before the first. */
byte view[N];
/* Highest revision of this life. */
byte highest[N];
bool ready[N];
bool paused[N];
/* It was paused, or has not confirmed its view in time. */
bool fenced[N];
/* The revision is in force: every instance that may act has it. */
byte in_force;
/* The quarantine of the moved address is over, as each instance sees it. */
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
	/* Never reverts within a life. */
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
		/* The platform answers, perhaps with an old revision. */
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
		/* A heartbeat of the peer carries its view. */
		(!paused[me] && view[peer] != 0) -> adopt(me, view[peer])
	   }
	:: atomic {
		/* Ready once it has the highest of platform and peer. */
		(!paused[me] && !ready[me] && view[me] != 0
#ifndef BROKEN_JOIN
			&& acts(peer) && view[me] >= view[peer]
#endif
		) ->
			ready[me] = true;
			/* Never reverts across a restart, once in force. */
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
		/* Its peer confirms, after the pause, with its own view. */
		(fenced[me] && !paused[me] && acts(peer)) ->
			adopt(me, view[peer]);
			fenced[me] = false
	   }
	:: atomic {
		/* It could not confirm its view in time. */
		(acts(me) && view[me] < published) -> fenced[me] = true
	   }
	:: atomic {
		/* The quarantine runs out: no instance acts on the older view any more. */
		(view[me] == 3 && !over[me]
#ifndef BROKEN_NO_QUARANTINE
			&& current(0, 3) && current(1, 3)
#endif
		) -> over[me] = true
	   }
	:: atomic {
		/* A packet for the address. */
		acts(me) ->
			/* None to the domain once its revision is in force. */
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
