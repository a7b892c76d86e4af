# Draws a day of disruptions inside the doses of a site file: draw_day.py SEED obbw|shut
import random,sys
def gen(seed, site='obbw'):
    r=random.Random(seed)
    S=dict(obbw=dict(llm='scribe-llm',app='orders-app',zones=['accra-a','accra-b','accra-c'],cl=['inscription-draft','layout-proof','wording-help']),
           shut=dict(llm='draft-models',app='billing-app',zones=['cascadia-a','cascadia-b','cascadia-c'],cl=['contract-reconcile','shoot-invoice-draft','balance-question']))[site]
    L=r.choice([34,41,50,60,70])
    def u(a,b): return round(r.uniform(a,b),3)
    def svc(): return r.choice([S['llm'],S['app']])
    plan=[lambda:dict(kind='config_change',how=r.choice(['route','weights','timeout','tenant','quota','quota down','topup','idle'])),
     lambda:dict(kind='config_storm',for_s=u(1,4),gap_s=r.choice([0.06,0.2,0.33])),
     lambda:dict(kind='big_config',count=r.randint(100,350)),
     lambda:dict(kind='revoke',count=r.randint(1,3),gap_s=u(0.1,1.5),**({'how':'last'} if r.random()<.3 else {})),
     lambda:dict(kind='hup',share=u(.3,.76),gap_s=u(1,2)),
     lambda:dict(kind='roll_term',share=u(.25,1),x=1.0,gap_s=u(.9,2),**({'how':r.choice(['busy','busy','leader'])} if r.random()<.6 else {})),
     lambda:dict(kind='scale_in',share=u(.08,.13),**({'how':r.choice(['spot','reclaim'])} if r.random()<.4 else {})),
     lambda:dict(kind='release',share=u(.2,.46),x=1.0,gap_s=u(.9,1)),
     lambda:dict(kind='add_nodes',share=.75),
     lambda:dict(kind='scale_out',share=.3),
    ]
    faults=[lambda:dict(kind='after_ack_kill',for_s=3.0,how=r.choice(['','kill','timed','kill timed'])),
     lambda:dict(kind='answer_lost',share=u(.4,.6),x=u(.05,.4),for_s=u(4,6.9),**({'how':'reset'} if r.random()<.5 else {}),**({'service':svc()} if r.random()<.5 else {})),
     lambda:dict(kind='burst',x=u(1.4,2.1),for_s=u(2.5,5)),
     lambda:dict(kind='core_cut',count=1,for_s=u(3,5.5),how=r.choice(['','reset','leader race','leader','refuse','leader refuse','one_way','meet'])),
     lambda:dict(kind='garble',share=u(.35,.6),x=u(.01,.05),for_s=u(4.4,6.6),how=r.choice(['','extra','extra late','unframed','early'])),
     lambda:dict(kind='give_up',share=u(.2,.3),for_s=u(4,5.5),**({'x':1500.0} if r.random()<.4 else {})),
     lambda:dict(kind='herd_kill',share=u(.3,1),for_s=u(1,2),how=r.choice(['','power'])),
     lambda:dict(kind='hot_key',share=u(.2,.31),for_s=u(5,5.5),**{'class':r.choice(S['cl'])}),
     lambda:dict(kind='hot_tenant',x=u(3,7.5),count=r.randint(1,3),for_s=u(6,11)),
     lambda:dict(kind='lossy',x=.025,for_s=5.5,zone=r.choice(S['zones'])),
     lambda:dict(kind='node_cut',share=u(.17,.35),for_s=u(5,12),how=r.choice(['','meet','reset revoke','reset','revoke','servers','all'])),
     lambda:dict(kind='node_freeze',share=.11,for_s=u(1.5,4),**({'on':'core','count':1,'how':r.choice(['leader','reader','renewed'])} if r.random()<.6 else {})),
     lambda:dict(kind='node_kill',share=u(.1,.16),for_s=u(1,4),how=r.choice(['','power'])),
     lambda:dict(kind='node_kill',on='core',count=1,for_s=u(1,3.5),how=r.choice(['power leader','meet drain','leader race drain','leader meet','turn','reader'])),
     lambda:dict(kind='node_slow',share=.15,x=u(3,5.5),for_s=5.5),
     lambda:dict(kind='platform_compact',for_s=u(3,12),**({'how':'drain','x':u(3,6)} if r.random()<.6 else {})),
     lambda:dict(kind='platform_down',for_s=u(2,4.5),how=r.choice(['silent','busy','reset','busy lapse','silent lapse'])),
     lambda:dict(kind='platform_down',share=u(.2,.35),for_s=u(5,9),how=r.choice(['nodes many revoke','nodes busy revoke meet drain','nodes many revoke meet','nodes reset','nodes silent leader','nodes silent revoke meet drain'])),
     lambda:dict(kind='platform_lost',x=u(.2,.35),for_s=u(3,4.5),how=r.choice(['','late'])),
     lambda:dict(kind='platform_slow',x=u(30,60),for_s=u(3,4.6)),
     lambda:dict(kind='reset_conns',share=u(.2,.35),x=u(.5,.78)),
     lambda:dict(kind='retry_abuse',x=3.0,share=.3,for_s=u(4,5.5)),
     lambda:dict(kind='srv_crash',service=S['llm'],share=u(.1,.25),for_s=u(2,4.5),how=r.choice(['','dark','gone','domain'])),
     lambda:dict(kind='srv_crash',service=S['app'],share=u(.1,.25),for_s=u(1,2),how=r.choice(['','dark','gone'])),
     lambda:dict(kind='srv_grey',share=u(.1,.14),x=u(.2,.45),for_s=u(4,6.5),how=r.choice(['errors','shed','busy','hang','reset','mute'])),
     lambda:dict(kind='srv_grey',share=.14,x=7.5,for_s=6.5,how='slow'),
     lambda:dict(kind='srv_grey',share=1.0,x=.45,for_s=4.0,how='errors all'),
     lambda:dict(kind='zone_cut',for_s=u(4,5.7),how=r.choice(['reset','drop','drop meet']),zone=r.choice(S['zones'])),
     lambda:dict(kind='srv_slow',share=.15,x=4.0,for_s=5.0),
     lambda:dict(kind='srv_cut',share=.2,for_s=5.0,**({'how':r.choice(['fronts','some','one_way','reset','reborn','some lossy'])} if r.random()<.8 else {})),
     lambda:dict(kind='replace_with_reuse',share=.15,**({'how':r.choice(['drain','dark'])} if r.random()<.7 else {})),
     lambda:dict(kind='clock_step',x=2000.0,share=.3,for_s=5.0,**({'how':r.choice(['back','ahead'])} if r.random()<.7 else {})),
    ]
    def at(e):
        e=dict(e); e['at']=u(0.3,L-6); return e
    # focus: some days use few kinds, many times
    np_,nf=r.randint(2,14),r.randint(3,22)
    mode=r.randint(0,5)
    def kinds(*k): return [f for f in faults if f()['kind'] in k]
    if mode==0:
        faults=kinds('burst','give_up','hot_key','hot_tenant','retry_abuse','platform_lost','platform_slow'); np_=r.randint(8,20)
    elif mode==1:
        faults=kinds('platform_compact','platform_down','platform_lost','platform_slow','core_cut','reset_conns'); np_=r.randint(8,18)
    elif mode==2:
        faults=kinds('answer_lost','garble','srv_crash','srv_grey','srv_slow','srv_cut','replace_with_reuse','give_up','retry_abuse'); np_=r.randint(5,15)
    elif mode==3:
        faults=kinds('node_kill','node_freeze','node_slow','node_cut','zone_cut','lossy','herd_kill','after_ack_kill','clock_step','reset_conns')
    elif mode==4:
        plan=r.sample(plan,3); faults=r.sample(faults,4)
    P=[at(r.choice(plan)()) for _ in range(np_)]
    F=[at(r.choice(faults)()) for _ in range(nf)]
    closing=r.choice([None,None,dict(kind='kill_all',down_s=.66),dict(kind='power_off_all',down_s=1.5),dict(kind='power_off_all',down_s=.84,how='all')])
    def t(e): return '{ '+', '.join(f'{k} = '+(f'"{v}"' if isinstance(v,str) else repr(v)) for k,v in e.items())+' }'
    o=f'[[day]]\nname = "fz-{seed}"\nlength_s = {float(L)}\n'
    if closing: o+='closing = '+t(closing)+'\n'
    o+='plan = [\n'+''.join('  '+t(e)+',\n' for e in P)+']\nfaults = [\n'+''.join('  '+t(e)+',\n' for e in F)+']\n'
    return o
if __name__=='__main__': print(gen(int(sys.argv[1]),sys.argv[2]))
