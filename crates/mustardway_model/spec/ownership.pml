/*
 * Ownership of one target, and one request that may run at most once.
 *
 * Three instances; instance 0 owns the target at first. Every copy of the
 * request is a process: the fabric hands it to any instance at any time, so
 * copies are lost, doubled, late and out of order. The last copy is a retry.
 *
 * Faults, bounded by CRASHES, FREEZES and CUTS: an instance dies; it is paused
 * and goes on later where it was; a pair of instances cannot hear each other.
 *
 * Rules that the properties rest on:
 * - whoever forwards the request remembers it first; an owner that has it from the
 *   caller itself lets another instance, the witness, remember it first;
 * - a successor takes over when it has not heard the owner for a lease and another
 *   instance agrees: that one does not hear the owner either, tells what it
 *   remembers, and from then on follows the successor;
 * - with nobody there to agree, the memory is partial, and the successor refuses
 *   every request that may run at most once;
 * - ownership is numbered; nobody goes back to an owner with a lower number;
 * - after a pause an instance is fenced until a peer answers what it asked after
 *   the pause; a peer that agreed to a successor does not answer, and one that was
 *   about to take over gives up;
 * - a stopping owner hands its table over before another one admits;
 * - a retry runs only with an owner whose memory reaches back without a gap.
 *
 * Assumptions: the lease is longer than the gap after which an instance knows
 * that it was paused; a take-over starts only when the owner was not heard for a
 * whole lease. Nothing is assumed about how long copies live. Not covered: liveness,
 * and more faults at one time than the bounds allow.
 *
 * "Not run" speaks of the copy that it answers.
 */

#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef FREEZES
#define FREEZES 1
#endif
#ifndef CUTS
#define CUTS 0
#endif
#ifndef HANDOVERS
#define HANDOVERS 1
#endif
#ifndef RETRIES
#define RETRIES 1
#endif

#define N 3
#define NOBODY 3

/* What an instance is. */
#define LIVE 0
#define FROZEN 1
#define DEAD 2

byte state[N] = LIVE;
/* It was paused and has not heard its peers again. */
bool fenced[N];
/* The instance that each takes for the owner. */
byte owner[N];
/* Number of that ownership: a later owner has a greater one. */
byte term[N];
/* It admits requests as owner. */
bool serves[N];
/* It has been told of every request since before the first copy was sent. */
bool continuous[N];
/* It took over without hearing every other instance. */
bool partial[N];
/* It may have forwarded, witnessed or admitted the request. */
bool knows[N];
/* It answers for the request as owner: admitted, announced or handed over. */
bool admitted[N];
/* The pair without this instance is cut. */
bool cut[N];
bool ever_cut;
/* Whom an instance is taking over from, and whether another one agreed. */
byte taking[N] = NOBODY;
bool agreed[N];
/* It stops as planned: it admits nothing and hands its table over. */
bool stopping[N];

byte runs;

#define apart(a, b) (cut[N - (a) - (b)])
#define hears(a, b) (state[b] == LIVE && state[a] == LIVE && !apart(a, b))

/* It would admit a request now. */
#define admits(who) (serves[who] && state[who] == LIVE && !fenced[who])

/* Answers "not run" for a copy; ran tells whether it did. */
inline not_run() {
	assert(!ran);
	goto done
}

proctype Copy(bool retry)
{
	byte ingress, at, witness;
	bool ran = false;

	/* The fabric: any instance reads it from its socket at any time, or it is lost. */
	atomic {
		if
		:: state[0] == LIVE -> ingress = 0
		:: state[1] == LIVE -> ingress = 1
		:: state[2] == LIVE -> ingress = 2
		:: goto done
		fi;
		if
		:: fenced[ingress] -> not_run()
		:: else
		fi;
		at = owner[ingress];
		if
		:: at != ingress -> knows[ingress] = true
		:: else
		fi
	};

	if
	:: at != ingress ->
		/* Forwarded: the owner reads it, or the link breaks. */
		atomic {
			if
			:: state[at] == LIVE && !apart(ingress, at) ->
				if
				:: fenced[at] || !serves[at] -> not_run()
				:: else
				fi
			:: state[at] == DEAD || apart(ingress, at) -> goto done
			:: state[ingress] == DEAD -> goto done
			fi
		}
	:: at == ingress ->
		/* The owner itself: another instance must know of it first. */
#ifndef BROKEN_NO_WITNESS
		atomic {
			if
			:: state[at] == DEAD -> goto done
			:: state[at] == LIVE -> witness = (at + 1) % N
			:: state[at] == LIVE -> witness = (at + 2) % N
			fi;
			if
			:: !hears(at, witness) || owner[witness] != at || fenced[witness] -> not_run()
			:: else -> knows[witness] = true
			fi;
			witness = 0
		}
#else
		skip
#endif
	fi;

	/* Admission, against the clock and the view of this moment. */
	atomic {
		if
		:: state[at] == DEAD -> goto done
		:: state[at] == LIVE
		fi;
		if
		:: fenced[at] || !serves[at] -> not_run()
		:: else
		fi;
		/* One owner admits at a time, unless instances cannot hear each other. */
		assert(ever_cut || !admits((at + 1) % N));
		assert(ever_cut || !admits((at + 2) % N));
		if
		:: admitted[at] -> goto done
		:: else
		fi;
#ifndef BROKEN_PARTIAL
		if
		:: partial[at] -> not_run()
		:: else
		fi;
#endif
		if
		:: retry && !continuous[at] -> goto done
		:: else
		fi;
		admitted[at] = true;
		knows[at] = true
	};

	/* To the target: the instance may have been paused since its admission. */
	atomic {
		if
		:: state[at] == DEAD -> goto done
		:: state[at] == LIVE
		fi;
		ran = true;
		runs++;
#ifdef REACH_SUCCESSOR
		/* Fails where a request can run after a take-over. */
		assert(at == 0);
#endif
		assert(runs <= 1)
	};

	/* The answer, or the link breaks before it. */
	if
	:: state[at] != LIVE || (at != ingress && apart(at, ingress)) ->
#ifdef BROKEN_NOT_RUN
		not_run()
#else
		goto done /* outcome unknown */
#endif
	:: true
	fi;
done:
	atomic {
		ingress = 0;
		at = 0;
		witness = 0;
		ran = false
	}
}

/* Takes the later owner that another instance names. */
inline follow(follower, named) {
	owner[follower] = owner[named];
	term[follower] = term[named];
	serves[follower] = false;
	stopping[follower] = false;
	continuous[follower] = false
}

/*
 * One instance takes over: the first in rank that it hears. Once another instance
 * has announced what it knows and follows, it goes on to the end.
 */
proctype Successor(byte me)
{
	byte other;

	do
	:: atomic {
		(taking[me] == NOBODY && state[me] == LIVE && !fenced[me]
			&& owner[me] != me && !hears(me, owner[me])
			&& (me == 1 || owner[me] == 1 || !hears(me, 1))) ->
			taking[me] = owner[me];
			other = N - me - taking[me];
			agreed[me] = false
	   }
	:: atomic {
		/* A later owner is known, or the owner is heard again in time. */
		(taking[me] != NOBODY && state[me] == LIVE
			&& (owner[me] != taking[me] || fenced[me]
				|| (!agreed[me] && hears(me, taking[me])))) ->
			taking[me] = NOBODY
	   }
	:: atomic {
		/* The other instance announces what it knows, and follows. */
		(taking[me] != NOBODY && owner[me] == taking[me] && !fenced[me]
			&& hears(me, other) && !fenced[other] && !agreed[me]
#ifndef BROKEN_HASTY
			&& !hears(other, taking[me])
#endif
		) ->
			if
			:: serves[other] -> follow(me, other); taking[me] = NOBODY
			:: !serves[other] && (term[other] > term[me] || taking[other] != NOBODY) ->
				taking[me] = NOBODY
			:: else ->
#ifndef BROKEN_NO_ANNOUNCE
				admitted[me] = admitted[me] || knows[other];
#endif
				follow(other, me);
				owner[other] = me;
				term[other] = term[me] + 1;
				agreed[me] = true
			fi
	   }
	:: atomic {
		/* The lease is over. */
		(taking[me] != NOBODY && owner[me] == taking[me] && state[me] == LIVE && !fenced[me]
			&& (agreed[me] || (!hears(me, taking[me]) && !hears(me, other)))) ->
			partial[me] = !agreed[me];
			admitted[me] = admitted[me] || knows[me];
			continuous[me] = false;
			owner[me] = me;
			term[me]++;
			serves[me] = true;
			taking[me] = NOBODY
	   }
	:: state[me] == DEAD -> break
	od
}

/* Crashes, pauses, cuts, wake-ups and the planned handover. */
proctype World()
{
	byte crashes = CRASHES, freezes = FREEZES, cuts = CUTS, handovers = HANDOVERS;
	byte who, other;

	do
	:: atomic {
		select(who : 0 .. 2);
		select(other : 0 .. 2);
		if
		:: crashes > 0 && state[who] != DEAD ->
			crashes--;
			state[who] = DEAD
		:: freezes > 0 && state[who] == LIVE ->
			freezes--;
			state[who] = FROZEN
		:: state[who] == FROZEN ->
			/* It finds a gap on its clock. */
			state[who] = LIVE;
#ifndef BROKEN_NO_FENCE
			fenced[who] = true
#endif
		:: cuts > 0 && !cut[who] ->
			cuts--;
			cut[who] = true;
			ever_cut = true
		:: cut[who] -> cut[who] = false
		:: fenced[who] && state[who] == LIVE ->
#ifdef BROKEN_OLD_FRAME
			/* A frame from before the pause counts as heard. */
			fenced[who] = false
#else
			/* A peer answers what was asked after the pause. */
			if
			:: (other != who && hears(who, other) && !fenced[other]
				&& !(taking[other] == who && agreed[other])) ->
				if
				:: taking[other] == who -> taking[other] = NOBODY
				:: else
				fi;
				if
				:: term[other] > term[who] -> follow(who, other)
				:: else
				fi;
				fenced[who] = false
			:: else
			fi
#endif
		:: handovers > 0 && serves[who] && !partial[who] && state[who] == LIVE && !fenced[who] ->
			/* Planned stop: no admission from here on. */
			handovers--;
			stopping[who] = true;
			serves[who] = false
		:: (stopping[who] && state[who] == LIVE && !fenced[who] && owner[who] == who
			&& other != who && hears(who, other) && !fenced[other]
			&& term[other] <= term[who] && taking[other] == NOBODY) ->
			/* The table arrives. */
			stopping[who] = false;
#ifndef BROKEN_NO_TABLE
			admitted[other] = admitted[other] || admitted[who] || knows[who];
#endif
			continuous[other] = continuous[who];
			owner[other] = other;
			term[other] = term[who] + 1;
			serves[other] = true;
			follow(who, other)
		:: (other != who && hears(who, other)
#ifdef BROKEN_NO_NUMBER
				&& owner[other] != owner[who] && !serves[who]
#else
				&& term[other] > term[who]
#endif
			) ->
			/* Heartbeats name the owner. */
			follow(who, other)
		:: else
		fi;
		who = 0;
		other = 0
	   }
	:: break
	od
}

init {
	atomic {
		serves[0] = true;
		continuous[0] = true;
		/* The third instance may have a stale list. */
		if
		:: owner[2] = 0
		:: owner[2] = 1
		fi;
		run Copy(false);
		run Copy(false);
#if RETRIES
		run Copy(true);
#endif
		run Successor(1);
		run Successor(2);
		run World()
	}
}
