package bed;

/** The crashed runners come back under the ids that they had. */
public final class CrasherSameId {
    private CrasherSameId() {
    }

    public static void main(String[] args) throws Exception {
        Crasher.run(Crasher.Mode.SAME_ID, args);
    }
}
