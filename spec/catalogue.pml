/*
 * Commit with lost answers, racing operators, spreading, restart with a floor, stale readers.
 *
 * Two operators' edits go through two committers, which read the head, write by condition, may
 * lose the answer, may be paused for as long as they like, and resolve by the edit id. Three
 * daemons learn versions by push, pull or from the platform, may restart with nothing, and must
 * learn their floor before they put anything in force. Committers and daemons may be paused
 * between any two steps.
 *
 * A flag takes one mechanism away, and then spin must find a violation (make spec does both):
 *   -DNO_CONDITION   the head moves without a condition
 *   -DNO_EDIT_ID     a lost answer is taken for a failure, and the edit is sent anew
 *   -DNO_FLOOR       a restarted daemon takes whatever it hears first
 *   -DNO_ORDER       an older version is put in force when it arrives late
 *   -DPEERS_ANY      while the platform is away, one peer's word is enough for a floor
 *   -DNO_BUILD_CHECK a version is put in force before all of it is there
 */

#ifndef DAEMONS
#define DAEMONS 3
#endif
#ifndef EDITS
#define EDITS 2
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif
#define MAXV 4

byte head = 0;                  /* the platform: the newest version */
byte edit_at[MAXV + 1];         /* which edit a version is, 0 for none */
byte runs_of[EDITS + 1];        /* how many versions an edit became */
bool accepted[EDITS + 1];       /* what the operator was told */
bool up = true;
byte outages = 1;
byte restarts = RESTARTS;

byte known[DAEMONS];            /* newest version known, whole chain below it */
byte in_force[DAEMONS];
byte top_in_force[DAEMONS];     /* ghost: the highest that the address ever had in force */
byte floor_of[DAEMONS];
bool sure[DAEMONS];             /* floor known */
bool partial[DAEMONS];          /* ghost: something of a version in force is missing */

inline put_in_force(d, v) {
#ifdef NO_ORDER
    if
    :: v > 0 -> in_force[d] = v
    :: else
    fi;
#else
    if
    :: sure[d] && v >= floor_of[d] && v > in_force[d] -> in_force[d] = v
    :: else
    fi;
#endif
    assert(in_force[d] == 0 || in_force[d] >= top_in_force[d]);   /* never moves back */
    assert(in_force[d] <= head);                /* only what was committed */
    if
    :: in_force[d] > 0 -> top_in_force[d] = in_force[d]
    :: else
    fi;
}

inline learn(d, v) {
    /* a delta is taken only where it follows from what is known; else the chain is pulled */
    if
    :: v > known[d] -> known[d] = v
    :: else
    fi;
#ifdef NO_ORDER
    put_in_force(d, v);
#else
    put_in_force(d, known[d]);
#endif
}

proctype Committer(byte edit) {
    byte seen = 0;
    byte v;
    bool found = false;
    bool done = false;
    bool told = false;

    do
    :: done -> break
    :: !done ->
        /* read the head; it may be stale as soon as it is read */
        atomic {
            up;
            seen = head;
            found = false;
            v = 1;
            do
            :: v <= head ->
                if
                :: edit_at[v] == edit -> found = true
                :: else
                fi;
                v++
            :: v > head -> break
            od;
            v = 0
        }
#ifdef NO_EDIT_ID
        found = false;
#endif
        if
        :: found -> told = true; done = true
        :: !found && seen < MAXV ->
            /* any pause may lie between the read and the write */
            if
            :: atomic {
                up;
#ifdef NO_CONDITION
                true ->
                if
                :: seen + 1 > head -> head = seen + 1
                :: else
                fi;
                assert(edit_at[seen + 1] == 0);      /* a version is one edit, for good */
                edit_at[seen + 1] = edit;
                runs_of[edit]++;
                done = true;
                told = true
#else
                if
                :: head == seen ->
                    head = seen + 1;
                    edit_at[head] = edit;
                    runs_of[edit]++;
                    if
                    :: done = true; told = true      /* the answer arrives */
                    :: done = false                  /* the answer is lost */
                    fi
                :: head != seen -> done = false      /* refused; read again */
                fi
#endif
                }
            :: true                                  /* the request is lost */
            fi
        :: !found && seen >= MAXV -> break
        fi
    od;
    accepted[edit] = told;
    assert(runs_of[edit] <= 1);                      /* one edit, one version */
    assert(!told || runs_of[edit] == 1)              /* what is said to be accepted was */
}

/*
 * Spreading: a push, a pull's answer or a stale read of the platform may bring any committed
 * version to any daemon at any time, twice, late or never. That covers loss, reorder,
 * duplication, delay, partitions, and messages of daemons that have died since.
 */
proctype Spreading() {
    byte d;
    byte v;
    do
    :: atomic {
        head > 0;
        select(d : 0 .. DAEMONS - 1);
        select(v : 1 .. head);
        learn(d, v);
        d = 0;
        v = 0
       }
    od
}

inline highest_of_peers(d, h) {
    byte p = 0;
    h = 0;
    do
    :: p < DAEMONS ->
        if
        :: p != d && sure[p] && in_force[p] > h -> h = in_force[p]
        :: else
        fi;
        p++
    :: p >= DAEMONS -> break
    od;
    p = 0
}

/* Restarts: a daemon loses everything, then learns its floor by the platform or by all peers. */
proctype Restarter() {
    byte d;
    byte h;
    do
    :: restarts > 0 ->
        atomic {
            restarts--;
            select(d : 0 .. DAEMONS - 1);
            known[d] = 0;
            in_force[d] = 0;
            floor_of[d] = 0;
            sure[d] = false;
            /* in_force 0 is "not ready": it answers that nothing ran; the ghost keeps the rest */
        }
#ifdef NO_FLOOR
        atomic { sure[d] = true; floor_of[d] = 0 }
#else
        if
        :: atomic { up -> floor_of[d] = head; sure[d] = true }
        :: atomic { !up ->
            highest_of_peers(d, h);
#ifdef PEERS_ANY
            if
            :: h > 0 -> floor_of[d] = 1; sure[d] = true
            :: else
            fi;
#else
            /* the stated assumption: a peer that holds the last version in force has survived */
            if
            :: h >= top_in_force[d] && h > 0 -> floor_of[d] = h; sure[d] = true
            :: else
            fi;
#endif
            h = 0
           }
        :: true                                     /* stays unsure, and out of force */
        fi;
#endif
        d = 0
    :: restarts == 0 -> break
    od
}

proctype Outage() {
    do
    :: outages > 0 -> atomic { outages--; up = false }; up = true
    :: outages == 0 -> break
    od
}

#ifdef NO_BUILD_CHECK
active proctype HalfBuilt() {
    /* half of a version is swapped in, then the other half */
    atomic { known[0] > 0 && sure[0] -> in_force[0] = known[0]; partial[0] = true }
    partial[0] = false
}
#endif

active proctype Watch() {
    /* a route may point at something that is not there only while a version is half in force */
    do
    :: atomic { partial[0] -> assert(false) }
    od
}

init {
    byte i = 0;
    atomic {
        do
        :: i < DAEMONS -> sure[i] = true; i++
        :: i >= DAEMONS -> break
        od;
        i = 1;
        do
        :: i <= EDITS -> run Committer(i); i++
        :: i > EDITS -> break
        od;
        run Spreading();
        run Restarter();
        run Outage()
    }
}
